/**
 * A machine loses power just before the first server of a new version is
 * listed. Its clients can't take their streams up at the other machines.
 *
 * @module
 */

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  CALLER_LIMITS,
  Entry,
  HAS_TROUBLE,
  listen,
  note,
  now,
  registerServer,
  route,
  runCase,
  sleep,
  Store,
} from "../lib/bed.mjs";
import {
  DEADLINE_MS,
  GOAL_MS,
  judgeTakeUps,
  ModelServer,
  PAUSE_MS,
  stream,
  STREAM_PAUSE_MS,
} from "../lib/streams.mjs";

await runCase(dirname(fileURLToPath(import.meta.url)), async () => {
  const store = await new Store().start();
  const addServer = async (i, version) => {
    const server = new ModelServer(`i-pool-${i}`, {
      service: "pool",
      version,
    });
    server.address = await listen(server.server);
    registerServer(store, server, { version });
    note(`${server.id} (${version}) is listed`);
    return server;
  };
  const old = [];
  for (const i of [1, 2, 3, 4]) old.push(await addServer(i, "v1"));
  store.put("op", "config", {
    version: 10,
    routes: [
      route({
        name: "draft",
        pathPrefix: "/draft/",
        routeType: "streaming",
        service: "pool",
        timeoutMs: DEADLINE_MS,
        targetLatencyMs: GOAL_MS,
        targetGapMs: PAUSE_MS,
        streamResume: true,
        maxAttempts: 2,
      }),
    ],
    services: [{ name: "pool", maxConnections: 370, engine: { slots: 64 } }],
    limits: CALLER_LIMITS,
  });
  const entries = [];
  for (const [i, zone] of ["zone-a", "zone-b", "zone-c"].entries()) {
    const seeds = entries.map(({ control }) => control);
    const entry = await Entry.create(`edge-${i + 1}`, { store, seeds, zone });
    entries.push(entry.start());
  }
  await Promise.all(entries.map((entry) => entry.waitUntilReady()));
  // The processes register, learn of each other and record the only version.
  await sleep(10_000);

  let isSending = true;
  const darkened = new Set();
  const open = entries.map(async (entry, i) => {
    const others = entries.filter((one) => one !== entry);
    const sent = [];
    await sleep(50 * i);
    while (isSending && !darkened.has(entry)) {
      sent.push(stream(entry, others));
      await sleep(STREAM_PAUSE_MS);
    }
    await Promise.all(sent);
  });
  await sleep(6_000);
  const lossAt = now();
  if (HAS_TROUBLE) {
    // It neither answers nor closes its connections, as without power.
    entries[0].signal("SIGSTOP");
    darkened.add(entries[0]);
  }
  await sleep(1_500);
  await addServer(5, "v2");
  await sleep(1_000);
  registerServer(store, old[0], { state: "draining", sequence: 2 });
  note(`${old[0].id} drains`);
  await sleep(6_500);
  isSending = false;
  await Promise.all(open);

  return judgeTakeUps({ lost: entries[0], lossAt });
});
