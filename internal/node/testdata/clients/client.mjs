// An unmodified client library against a node: it connects, authenticates, binds, is answered, loses its link, and resumes.
// node client.mjs SERVICE USER; it ends with status 0 when the same session was resumed.
import { client, xml } from "@xmpp/client";

const [service, username] = process.argv.slice(2);
const xmpp = client({ service, domain: "farm.example", resource: "x", username, password: "secret" });
if (process.env.DEBUG) (await import("@xmpp/debug")).default(xmpp, true);
const end = (status, text) => { console.log(text); process.exit(status); };
setTimeout(() => end(1, "nothing more comes"), 15000);
xmpp.on("error", (e) => console.log("error", e.message));
const ping = () => xmpp.iqCaller.request(xml("iq", { type: "get" }, xml("ping", "urn:xmpp:ping")), 5000);
const until = async (is) => { while (!is()) await new Promise((r) => setTimeout(r, 20)); };

await xmpp.start();
const sm = xmpp.streamManagement;
await until(() => sm.id);
const id = sm.id;
await ping();
const again = new Promise((done) => { sm.once("resumed", () => done(true)); xmpp.on("online", () => done(false)); });
const link = xmpp.socket.socket ?? xmpp.socket;
link.destroy ? link.destroy() : link.close();
const resumed = await again;
await ping();
end(resumed && sm.id === id ? 0 : 1, resumed ? "resumed " + id : "bound anew");
