// A library that is preloaded into one process and has its system calls fail in ways that Linux documents, and its wall clock be
// stepped, as a control file that is shared with the laboratory says. A filter on system calls (seccomp) leads the calls that may
// fail to a signal handler in the process itself, which makes them or has them fail. The clock's entries in the process's own vDSO page lead
// here, since programs read clocks without a system call. x86-64 Linux only; nothing outside the process is touched.

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

enum kind { ACCEPT, SOCKET, CONNECT, READ, SHORT_READ, WRITE, SHORT_WRITE, WAIT, WATCH, BREAK, OPEN, KINDS };

// The control file, as the laboratory maps it too.
struct control {
	uint64_t seed;
	volatile int64_t wall_offset; // ns that the wall clock is ahead
	volatile uint32_t per_million[KINDS];
	uint32_t pad;
	volatile uint64_t injected[KINDS];
};

static struct control *control;
static const char *config_path;
static volatile uint64_t draws;
static volatile unsigned char dialled[65536]; // descriptors that the process has connected itself

// gate makes system calls that the filter lets pass: it knows the page that they come from.
__attribute__((naked, noinline, aligned(4096), section(".gate"))) static long gate(long nr, long a, long b, long c, long d, long e, long f)
{
	__asm__ volatile(
		"mov %rdi, %rax\n mov %rsi, %rdi\n mov %rdx, %rsi\n mov %rcx, %rdx\n"
		"mov %r8, %r10\n mov %r9, %r8\n mov 8(%rsp), %r9\n syscall\n ret\n .balign 4096\n");
}

static uint64_t draw(void)
{
	uint64_t z = control->seed + __sync_add_and_fetch(&draws, 1) * 0x9e3779b97f4a7c15ull;
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
	return z ^ (z >> 31);
}

// strikes says whether a call of this kind fails now, and counts it.
static int strikes(enum kind k)
{
	uint32_t per_million = control->per_million[k];
	if (per_million == 0 || draw() % 1000000 >= per_million)
		return 0;
	__sync_add_and_fetch(&control->injected[k], 1);
	return 1;
}

static long one_of(const int *codes, size_t n) { return -codes[draw() % n]; }
#define ONE_OF(...) one_of((const int[]){__VA_ARGS__}, sizeof((const int[]){__VA_ARGS__}) / sizeof(int))

// mode is the type of what a descriptor stands for: S_IFSOCK, 0 for event and timer descriptors, ...
static unsigned mode(long fd)
{
	struct stat s;
	if (gate(SYS_fstat, fd, (long)&s, 0, 0, 0, 0) != 0)
		return S_IFIFO;
	return s.st_mode & S_IFMT;
}

// sever breaks a connection that the process has dialled, as the kernel does after too many silent retransmissions.
static int sever(long fd)
{
	if (fd < 0 || fd >= (long)sizeof dialled || !dialled[fd] || !strikes(BREAK))
		return 0;
	struct sockaddr none = {.sa_family = AF_UNSPEC};
	gate(SYS_connect, fd, (long)&none, sizeof none, 0, 0, 0);
	return 1;
}

static long call(long nr, const long *a) { return gate(nr, a[0], a[1], a[2], a[3], a[4], a[5]); }

static long read_call(long nr, long *a)
{
	unsigned m = mode(a[0]);
	if (m != S_IFSOCK && m != 0)
		return call(nr, a);
	if (strikes(READ))
		return -EINTR;
	if (m == S_IFSOCK && sever(a[0]))
		return ONE_OF(ETIMEDOUT, EHOSTUNREACH);
	if (m == S_IFSOCK && a[2] > 1 && strikes(SHORT_READ))
		a[2] = 1 + draw() % (a[2] < 64 ? a[2] : 64);
	return call(nr, a);
}

static long write_call(long nr, long *a)
{
	unsigned m = mode(a[0]);
	if (m != S_IFSOCK && m != 0)
		return call(nr, a);
	if (strikes(WRITE))
		return m == S_IFSOCK ? ONE_OF(EINTR, EINTR, ENOBUFS, ENOMEM) : -EINTR;
	if (m == S_IFSOCK && sever(a[0]))
		return ONE_OF(ETIMEDOUT, EHOSTUNREACH);
	if (m == S_IFSOCK && a[2] > 1 && strikes(SHORT_WRITE))
		a[2] = 1 + draw() % (a[2] - 1);
	return call(nr, a);
}

static long connect_call(long nr, long *a)
{
	const struct sockaddr *to = (const struct sockaddr *)a[1];
	if (to->sa_family != AF_INET)
		return call(nr, a);
	if (a[0] >= 0 && a[0] < (long)sizeof dialled)
		dialled[a[0]] = 1;
	if (!strikes(CONNECT))
		return call(nr, a);
	long code = ONE_OF(EADDRNOTAVAIL, ENETUNREACH, EINTR, EAGAIN);
	if (code == -EINTR) // the connect goes on by itself
		call(nr, a);
	return code;
}

static long accept_call(long nr, long *a)
{
	if (strikes(ACCEPT))
		return ONE_OF(ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EINTR, EPROTO);
	long fd = call(nr, a);
	if (fd >= 0 && fd < (long)sizeof dialled)
		dialled[fd] = 0;
	return fd;
}

static long decide(long nr, long *a)
{
	switch (nr) {
	case SYS_accept4:
		return accept_call(nr, a);
	case SYS_socket:
		return a[0] == AF_INET && strikes(SOCKET) ? ONE_OF(ENFILE, EMFILE, ENOBUFS, ENOMEM) : call(nr, a);
	case SYS_connect:
		return connect_call(nr, a);
	case SYS_read:
	case SYS_recvfrom:
		return read_call(nr, a);
	case SYS_write:
		return write_call(nr, a);
	case SYS_epoll_wait:
		return strikes(WAIT) ? -EINTR : call(nr, a);
	case SYS_epoll_ctl:
		return a[1] != 2 && mode(a[2]) == S_IFSOCK && strikes(WATCH) ? ONE_OF(ENOMEM, ENOSPC) : call(nr, a);
	case SYS_openat:
		return config_path && strcmp((const char *)a[1], config_path) == 0 && strikes(OPEN) ? ONE_OF(ENFILE, EMFILE, EIO, EINTR) : call(nr, a);
	}
	return call(nr, a);
}

static void trapped(int sig, siginfo_t *info, void *context)
{
	greg_t *r = ((ucontext_t *)context)->uc_mcontext.gregs;
	long a[6] = {r[REG_RDI], r[REG_RSI], r[REG_RDX], r[REG_R10], r[REG_R8], r[REG_R9]};
	(void)sig;
	r[REG_RAX] = decide(info->si_syscall, a);
}

// sigaction keeps the program's runtime from taking SIGSYS for itself.
int sigaction(int sig, const struct sigaction *act, struct sigaction *old)
{
	static int (*real)(int, const struct sigaction *, struct sigaction *);
	if (!real)
		real = (int (*)(int, const struct sigaction *, struct sigaction *))dlsym(RTLD_NEXT, "sigaction");
	return real(sig, sig == SIGSYS ? NULL : act, old);
}

static int wall(clockid_t clock) { return clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE; }

static int stepped_gettime(clockid_t clock, struct timespec *ts)
{
	long err = gate(SYS_clock_gettime, clock, (long)ts, 0, 0, 0, 0);
	if (err == 0 && wall(clock)) {
		int64_t ns = ts->tv_sec * 1000000000ll + ts->tv_nsec + control->wall_offset;
		ts->tv_sec = ns / 1000000000ll;
		ts->tv_nsec = ns % 1000000000ll;
	}
	return err;
}

static void redirect(char *code, void *to)
{
	unsigned char jump[12] = {0x48, 0xb8, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xe0}; // movabs to, %rax; jmp *%rax
	memcpy(jump + 2, &to, sizeof to);
	memcpy(code, jump, sizeof jump);
}

// step_clocks has the vDSO's clock_gettime lead to stepped_gettime.
static int step_clocks(void)
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
		if (s->st_value && strcmp(names + s->st_name, "__vdso_clock_gettime") == 0) {
			redirect(base + s->st_value, (void *)stepped_gettime);
			found = 1;
		}
	mprotect(base, (size + 4095) & ~4095ul, PROT_READ | PROT_EXEC);
	return found ? 0 : -1;
}

// filter_calls has the kernel lead the calls that may fail to the handler, but for those that the gate makes.
static int filter_calls(void)
{
	uint64_t page = (uint64_t)(uintptr_t)gate;
	static const int calls[] = {SYS_accept4, SYS_socket, SYS_connect, SYS_read, SYS_recvfrom, SYS_write, SYS_epoll_wait, SYS_epoll_ctl, SYS_openat};
	enum { N = sizeof calls / sizeof *calls };
	struct sock_filter code[N + 12];
	int at = 0;
	code[at++] = (struct sock_filter)BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, instruction_pointer) + 4);
	code[at++] = (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, (uint32_t)(page >> 32), 0, 4);
	code[at++] = (struct sock_filter)BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, instruction_pointer));
	code[at++] = (struct sock_filter)BPF_STMT(BPF_ALU | BPF_AND | BPF_K, 0xfffff000u);
	code[at++] = (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, (uint32_t)page, 0, 1);
	code[at++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW);
	code[at++] = (struct sock_filter)BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, nr));
	for (int i = 0; i < N; i++)
		code[at++] = (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, (uint32_t)calls[i], (unsigned char)(N - i), 0);
	code[at++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW);
	code[at++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_TRAP);
	struct sock_fprog program = {(unsigned short)at, code};
	if (prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) != 0)
		return -1;
	return prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, &program);
}

__attribute__((constructor)) static void begin(void)
{
	const char *path = getenv("SPURWINCH_FAULTS");
	if (!path)
		return;
	int fd = open(path, O_RDWR | O_CLOEXEC);
	void *shared = fd < 0 ? MAP_FAILED : mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
	if (fd >= 0)
		close(fd);
	struct sigaction act = {.sa_sigaction = trapped, .sa_flags = SA_SIGINFO | SA_ONSTACK | SA_NODEFER};
	int (*real)(int, const struct sigaction *, struct sigaction *) =
		(int (*)(int, const struct sigaction *, struct sigaction *))dlsym(RTLD_NEXT, "sigaction");
	config_path = getenv("GW_CONFIG");
	if (shared == MAP_FAILED)
		_exit(112);
	control = shared;
	if (!real || real(SIGSYS, &act, NULL) != 0 || step_clocks() != 0 || filter_calls() != 0)
		_exit(113);
}
