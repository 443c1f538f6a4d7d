// Another unmodified client library against a node, as client.mjs: it resumes by itself when its link is lost.
import { createClient } from "stanza";

const [service, username] = process.argv.slice(2);
const end = (status, text) => { console.log(text); process.exit(status); };
setTimeout(() => end(1, "nothing more comes"), 15000);
const c = createClient({ jid: username + "@farm.example", password: "secret", transports: { websocket: service, bosh: false }, autoReconnect: false });
if (process.env.DEBUG) c.on("*", (name, data) => console.log(name, data));
const once = (name) => new Promise((done) => c.once(name, done));
const started = once("session:started");
const managed = once("sm");
c.connect();
await started;
await new Promise((r) => setTimeout(r, 300));
const id = c.sm.id;
await c.ping("farm.example");
const resumed = Promise.race([once("stream:management:resumed").then(() => true), once("session:started").then(() => false)]);
const gone = once("disconnected");
(c.transport.socket).close();
await gone;
c.connect();
const was = await resumed;
await c.ping("farm.example");
end(was && id ? 0 : 1, was ? "resumed " + id : "bound anew");
