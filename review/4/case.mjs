/**
 * A process is killed. Its clients can't take the streams of a split route up
 * at the other machines.
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
  const services = ["pool-a", "pool-b"];
  for (const service of services) {
    for (const i of [1, 2]) {
      const id = `i-${service}-${i}`;
      const server = new ModelServer(id, { service, version: "v1" });
      server.address = await listen(server.server);
      registerServer(store, server, { version: "v1" });
    }
  }
  store.put("op", "config", {
    version: 10,
    routes: [
      route({
        name: "draft",
        pathPrefix: "/draft/",
        routeType: "streaming",
        weightedServices: services
          .map((service) => ({ service, weight: 50 })),
        timeoutMs: DEADLINE_MS,
        targetLatencyMs: GOAL_MS,
        targetGapMs: PAUSE_MS,
        streamResume: true,
        maxAttempts: 2,
      }),
    ],
    services: services.map((name) => ({
      name,
      maxConnections: 370,
      engine: { slots: 64 },
    })),
    limits: CALLER_LIMITS,
  });
  const entries = [];
  for (const [i, zone] of ["zone-a", "zone-b", "zone-c"].entries()) {
    const seeds = entries.map(({ control }) => control);
    const entry = await Entry.create(`edge-${i + 1}`, { store, seeds, zone });
    entries.push(entry.start());
  }
  await Promise.all(entries.map((entry) => entry.waitUntilReady()));
  // The processes register and learn of each other.
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
    entries[0].signal("SIGKILL");
    darkened.add(entries[0]);
  }
  await sleep(6_000);
  isSending = false;
  await Promise.all(open);

  return judgeTakeUps({ lost: entries[0], lossAt });
});
