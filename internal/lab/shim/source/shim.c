// This library is preloaded into one process. As its control file specifies, it makes system calls of the process fail
// in ways that Linux documents, and steps the wall clock of the process. The process shares the control file with the
// laboratory. A system call filter (seccomp) redirects the calls that may fail to a signal handler in the process
// itself, which makes the calls or lets them fail. Programs read clocks without a system call; therefore the library
// redirects clock_gettime in the process's own vDSO page to a function of its own. The library works on x86-64 and
// arm64 Linux only and changes nothing outside the process.

#define _GNU_SOURCE
#include <dlfcn.h>
#include <elf.h>
#include <errno.h>
#include <fcntl.h>
#include <linux/audit.h>
#include <linux/filter.h>
#include <linux/seccomp.h>
#include <netinet/in.h>
#include <signal.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/auxv.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <time.h>
#include <ucontext.h>
#include <unistd.h>

// The kinds of failures, in the order of the constants in shim.go.
enum kind { ACCEPT, SOCKET, CONNECT, READ, SHORT_READ, WRITE, SHORT_WRITE, WAIT, WATCH, BREAK, OPEN, KINDS };

// The layout of the control file, which the laboratory maps too.
struct control {
	uint64_t seed;
	volatile int64_t clock_offset; // ns that the process's wall clock is ahead of the machine's
	volatile uint32_t per_million[KINDS]; // failure rates in parts per million
	uint32_t pad;
	volatile uint64_t injected[KINDS]; // numbers of injected failures
};

static struct control *control;
static const char *config_path; // the configuration file that OPEN failures apply to
static volatile uint64_t random_count; // random numbers drawn so far
static volatile unsigned char dialled[65536]; // whether the process has opened the descriptor's connection itself

// The names that differ between the architectures: the system call that waits for events, and the vDSO's clock_gettime.
#ifdef __aarch64__
#define WAIT_CALL SYS_epoll_pwait
#define VDSO_CLOCK "__kernel_clock_gettime"
#else
#define WAIT_CALL SYS_epoll_wait
#define VDSO_CLOCK "__vdso_clock_gettime"
#endif

// raw_syscall makes a system call. It is alone in its page, and the filter allows all calls that come from this page.
#ifdef __aarch64__
__attribute__((visibility("hidden"))) long raw_syscall(long nr, long a, long b, long c, long d, long e, long f);
__asm__(
	".pushsection .gate, \"ax\", %progbits\n .balign 4096\n .globl raw_syscall\n .hidden raw_syscall\n"
	" .type raw_syscall, %function\nraw_syscall:\n"
	" mov x8, x0\n mov x0, x1\n mov x1, x2\n mov x2, x3\n mov x3, x4\n mov x4, x5\n mov x5, x6\n svc #0\n ret\n"
	" .balign 4096\n .size raw_syscall, . - raw_syscall\n .popsection\n");
#else
__attribute__((naked, noinline, aligned(4096), section(".gate"))) static long
raw_syscall(long nr, long a, long b, long c, long d, long e, long f)
{
	__asm__ volatile(
		"mov %rdi, %rax\n mov %rsi, %rdi\n mov %rdx, %rsi\n mov %rcx, %rdx\n"
		"mov %r8, %r10\n mov %r9, %r8\n mov 8(%rsp), %r9\n syscall\n ret\n .balign 4096\n");
}
#endif

// next_random returns the next number of a sequence that the seed determines (SplitMix64).
static uint64_t next_random(void)
{
	uint64_t z = control->seed + __sync_add_and_fetch(&random_count, 1) * 0x9e3779b97f4a7c15ull;
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
	return z ^ (z >> 31);
}

// should_fail decides at random whether a call of this kind fails now, and counts the failures.
static int should_fail(enum kind k)
{
	uint32_t per_million = control->per_million[k];
	if (per_million == 0 || next_random() % 1000000 >= per_million)
		return 0;
	__sync_add_and_fetch(&control->injected[k], 1);
	return 1;
}

// random_error returns one of the error codes, negated, at random.
static long random_error(const int *codes, size_t n) { return -codes[next_random() % n]; }
#define RANDOM_ERROR(...) random_error((const int[]){__VA_ARGS__}, sizeof((const int[]){__VA_ARGS__}) / sizeof(int))

// file_type returns the file type of a descriptor, such as S_IFSOCK, or 0 for event and timer descriptors. If fstat
// fails, it returns S_IFIFO, for which no call is made to fail.
static unsigned file_type(long fd)
{
	struct stat s;
	if (raw_syscall(SYS_fstat, fd, (long)&s, 0, 0, 0, 0) != 0)
		return S_IFIFO;
	return s.st_mode & S_IFMT;
}

// break_connection may break a connection that the process has opened, in the way the kernel does after too many
// unanswered retransmissions. It reports whether it broke the connection.
static int break_connection(long fd)
{
	if (fd < 0 || fd >= (long)sizeof dialled || !dialled[fd] || !should_fail(BREAK))
		return 0;
	struct sockaddr none = {.sa_family = AF_UNSPEC};
	raw_syscall(SYS_connect, fd, (long)&none, sizeof none, 0, 0, 0);
	return 1;
}

static long pass_through(long nr, const long *a) { return raw_syscall(nr, a[0], a[1], a[2], a[3], a[4], a[5]); }

static long read_call(long nr, long *a)
{
	unsigned m = file_type(a[0]);
	if (m != S_IFSOCK && m != 0)
		return pass_through(nr, a);
	if (should_fail(READ))
		return -EINTR;
	if (m == S_IFSOCK && break_connection(a[0]))
		return RANDOM_ERROR(ETIMEDOUT, EHOSTUNREACH);
	if (m == S_IFSOCK && a[2] > 1 && should_fail(SHORT_READ))
		a[2] = 1 + next_random() % (a[2] < 64 ? a[2] : 64);
	return pass_through(nr, a);
}

static long write_call(long nr, long *a)
{
	unsigned m = file_type(a[0]);
	if (m != S_IFSOCK && m != 0)
		return pass_through(nr, a);
	if (should_fail(WRITE))
		return m == S_IFSOCK ? RANDOM_ERROR(EINTR, EINTR, ENOBUFS, ENOMEM) : -EINTR;
	if (m == S_IFSOCK && break_connection(a[0]))
		return RANDOM_ERROR(ETIMEDOUT, EHOSTUNREACH);
	if (m == S_IFSOCK && a[2] > 1 && should_fail(SHORT_WRITE))
		a[2] = 1 + next_random() % (a[2] - 1);
	return pass_through(nr, a);
}

static long connect_call(long nr, long *a)
{
	const struct sockaddr *to = (const struct sockaddr *)a[1];
	if (to->sa_family != AF_INET)
		return pass_through(nr, a);
	if (a[0] >= 0 && a[0] < (long)sizeof dialled)
		dialled[a[0]] = 1;
	if (!should_fail(CONNECT))
		return pass_through(nr, a);
	long code = RANDOM_ERROR(EADDRNOTAVAIL, ENETUNREACH, EINTR, EAGAIN);
	if (code == -EINTR) // an interrupted connect continues in the background
		pass_through(nr, a);
	return code;
}

static long accept_call(long nr, long *a)
{
	if (should_fail(ACCEPT))
		return RANDOM_ERROR(ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EINTR, EPROTO);
	long fd = pass_through(nr, a);
	if (fd >= 0 && fd < (long)sizeof dialled)
		dialled[fd] = 0;
	return fd;
}

static long handle_call(long nr, long *a)
{
	switch (nr) {
	case SYS_accept4:
		return accept_call(nr, a);
	case SYS_socket:
		return a[0] == AF_INET && should_fail(SOCKET) ? RANDOM_ERROR(ENFILE, EMFILE, ENOBUFS, ENOMEM)
			: pass_through(nr, a);
	case SYS_connect:
		return connect_call(nr, a);
	case SYS_read:
	case SYS_recvfrom:
		return read_call(nr, a);
	case SYS_write:
		return write_call(nr, a);
	case WAIT_CALL:
		return should_fail(WAIT) ? -EINTR : pass_through(nr, a);
	case SYS_epoll_ctl: // 2 is EPOLL_CTL_DEL, for which the library injects no failure
		return a[1] != 2 && file_type(a[2]) == S_IFSOCK && should_fail(WATCH) ? RANDOM_ERROR(ENOMEM, ENOSPC)
			: pass_through(nr, a);
	case SYS_openat:
		return config_path && strcmp((const char *)a[1], config_path) == 0 && should_fail(OPEN)
			? RANDOM_ERROR(ENFILE, EMFILE, EIO, EINTR) : pass_through(nr, a);
	}
	return pass_through(nr, a);
}

// handle_sigsys handles a call that the filter has trapped, and sets its result.
static void handle_sigsys(int sig, siginfo_t *info, void *context)
{
#ifdef __aarch64__
	unsigned long long *r = ((ucontext_t *)context)->uc_mcontext.regs;
	long a[6] = {r[0], r[1], r[2], r[3], r[4], r[5]};
	(void)sig;
	r[0] = handle_call(info->si_syscall, a);
#else
	greg_t *r = ((ucontext_t *)context)->uc_mcontext.gregs;
	long a[6] = {r[REG_RDI], r[REG_RSI], r[REG_RDX], r[REG_R10], r[REG_R8], r[REG_R9]};
	(void)sig;
	r[REG_RAX] = handle_call(info->si_syscall, a);
#endif
}

// sigaction replaces the C library's function and keeps the program's runtime from installing its own SIGSYS handler.
int sigaction(int sig, const struct sigaction *act, struct sigaction *old)
{
	static int (*real)(int, const struct sigaction *, struct sigaction *);
	if (!real)
		real = (int (*)(int, const struct sigaction *, struct sigaction *))dlsym(RTLD_NEXT, "sigaction");
	return real(sig, sig == SIGSYS ? NULL : act, old);
}

static int is_wall_clock(clockid_t clock) { return clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE; }

static int offset_clock_gettime(clockid_t clock, struct timespec *ts)
{
	long err = raw_syscall(SYS_clock_gettime, clock, (long)ts, 0, 0, 0, 0);
	if (err == 0 && is_wall_clock(clock)) {
		int64_t ns = ts->tv_sec * 1000000000ll + ts->tv_nsec + control->clock_offset;
		ts->tv_sec = ns / 1000000000ll;
		ts->tv_nsec = ns % 1000000000ll;
	}
	return err;
}

static void write_jump(char *code, void *to)
{
#ifdef __aarch64__
	uint32_t jump[4] = {0x58000050, 0xd61f0200}; // ldr x16, #8; br x16; the address
	memcpy(jump + 2, &to, sizeof to);
	memcpy(code, jump, sizeof jump);
	__builtin___clear_cache(code, code + sizeof jump);
#else
	unsigned char jump[12] = {0x48, 0xb8, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xe0}; // movabs $to, %rax; jmp *%rax
	memcpy(jump + 2, &to, sizeof to);
	memcpy(code, jump, sizeof jump);
#endif
}

// redirect_vdso_clock makes the vDSO's clock_gettime jump to offset_clock_gettime.
static int redirect_vdso_clock(void)
{
	char *base = (char *)getauxval(AT_SYSINFO_EHDR);
	if (!base)
		return -1;
	Elf64_Ehdr *head = (Elf64_Ehdr *)base;
	Elf64_Phdr *segment = (Elf64_Phdr *)(base + head->e_phoff);
	Elf64_Dyn *dynamic = NULL;
	size_t size = 0;
	for (int i = 0; i < head->e_phnum; i++) {
		if (segment[i].p_type == PT_DYNAMIC)
			dynamic = (Elf64_Dyn *)(base + segment[i].p_offset);
		if (segment[i].p_type == PT_LOAD)
			size = segment[i].p_offset + segment[i].p_memsz;
	}
	Elf64_Sym *symbols = NULL;
	char *names = NULL;
	for (; dynamic && dynamic->d_tag != DT_NULL; dynamic++) {
		if (dynamic->d_tag == DT_SYMTAB)
			symbols = (Elf64_Sym *)(base + dynamic->d_un.d_ptr);
		if (dynamic->d_tag == DT_STRTAB)
			names = base + dynamic->d_un.d_ptr;
	}
	if (!symbols || !names || mprotect(base, (size + 4095) & ~4095ul, PROT_READ | PROT_WRITE | PROT_EXEC) != 0)
		return -1;
	int found = 0;
	for (Elf64_Sym *s = symbols + 1; (char *)(s + 1) <= names; s++)
		if (s->st_value && strcmp(names + s->st_name, VDSO_CLOCK) == 0) {
			write_jump(base + s->st_value, (void *)offset_clock_gettime);
			found = 1;
		}
	mprotect(base, (size + 4095) & ~4095ul, PROT_READ | PROT_EXEC);
	return found ? 0 : -1;
}

// install_filter makes the kernel send SIGSYS for the calls that may fail, except for those that raw_syscall makes.
static int install_filter(void)
{
	uint64_t page = (uint64_t)(uintptr_t)raw_syscall;
	static const int calls[] = {SYS_accept4, SYS_socket, SYS_connect, SYS_read, SYS_recvfrom, SYS_write, WAIT_CALL,
		SYS_epoll_ctl, SYS_openat};
	enum { N = sizeof calls / sizeof *calls };
	struct sock_filter code[N + 12];
	int at = 0;
	code[at++] = (struct sock_filter)BPF_STMT(
		BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, instruction_pointer) + 4);
	code[at++] = (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, (uint32_t)(page >> 32), 0, 4);
	code[at++] = (struct sock_filter)BPF_STMT(
		BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, instruction_pointer));
	code[at++] = (struct sock_filter)BPF_STMT(BPF_ALU | BPF_AND | BPF_K, 0xfffff000u);
	code[at++] = (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, (uint32_t)page, 0, 1);
	code[at++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW);
	code[at++] = (struct sock_filter)BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, nr));
	for (int i = 0; i < N; i++)
		code[at++] = (struct sock_filter)BPF_JUMP(
			BPF_JMP | BPF_JEQ | BPF_K, (uint32_t)calls[i], (unsigned char)(N - i), 0);
	code[at++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW);
	code[at++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_TRAP);
	struct sock_fprog program = {(unsigned short)at, code};
	if (prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) != 0)
		return -1;
	return prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, &program);
}

__attribute__((constructor)) static void initialize(void)
{
	const char *path = getenv("SPURWINCH_FAULTS");
	if (!path)
		return;
	int fd = open(path, O_RDWR | O_CLOEXEC);
	void *shared = fd < 0 ? MAP_FAILED : mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
	if (fd >= 0)
		close(fd);
	struct sigaction act = {.sa_sigaction = handle_sigsys, .sa_flags = SA_SIGINFO | SA_ONSTACK | SA_NODEFER};
	int (*real)(int, const struct sigaction *, struct sigaction *) =
		(int (*)(int, const struct sigaction *, struct sigaction *))dlsym(RTLD_NEXT, "sigaction");
	config_path = getenv("GW_CONFIG");
	if (shared == MAP_FAILED)
		_exit(112);
	control = shared;
	if (!real || real(SIGSYS, &act, NULL) != 0 || redirect_vdso_clock() != 0 || install_filter() != 0)
		_exit(113);
}
