import assert from "node:assert/strict";
import { test } from "node:test";
import { ANY_PROMPT } from "../crashes/mod.ts";
import type { TakenUp } from "../origins/mod.ts";
import { Catalog, RouteKind, type StreamOrigin } from "../serving/mod.ts";
import { catalogSpec, pool, route } from "../serving/testing.ts";
import { type CallerRequest, RefusalKind } from "./ports.ts";
import type { Admitted } from "./relay.ts";
import { bindToOrigin, streamOf } from "./stream_binding.ts";

function requestOf(overrides: Partial<CallerRequest>): CallerRequest {
  return {
    id: "again",
    method: "POST",
    hostname: "api.example",
    path: "/r/1",
    headers: [],
    body: Buffer.alloc(0),
    pieces: [],
    promptParts: [],
    receivedAt: 0,
    ...overrides,
  };
}

const RESUMED = { lastEventId: "3", originAttemptId: "begun" };

/** A request to a route that is split over two pools; it drew the first. */
function admittedOf(
  overrides: Partial<CallerRequest>,
  kind: RouteKind = RouteKind.Stream,
): Admitted {
  const split = route({
    kind,
    isResumable: true,
    pools: [{ pool: "plain", weight: 1 }, { pool: "other", weight: 1 }],
  });
  const pools = [pool("plain"), pool("other"), pool("left")];
  return {
    req: requestOf(overrides),
    catalog: new Catalog(catalogSpec({ routes: [split], pools })),
    standing: {},
    route: split,
    pool: pool("plain"),
    priority: 0,
    ageMs: 0,
    sizeRank: 0,
    content: { promptParts: [] },
    permit: ANY_PROMPT,
  };
}

function originsOf(origin: StreamOrigin | undefined) {
  const asked: TakenUp[] = [];
  return {
    asked,
    expect: () => {},
    begun: () => undefined,
    find: (takenUp: TakenUp) => {
      asked.push(takenUp);
      return Promise.resolve(origin);
    },
  };
}

test("a stream of a split route goes on at the pool that began it", async () => {
  const origins = originsOf({ pool: "other", build: "v1" });
  const bound = await bindToOrigin(admittedOf(RESUMED), origins);
  const { pool: chosen, origin } = bound._unsafeUnwrap();
  assert.equal(chosen.name, "other");
  assert.equal(origin?.build, "v1");
  assert.deepEqual(origins.asked, [
    {
      request: "again",
      stream: "begun",
      route: { hostname: "api.example", pathPrefix: "/r/" },
    },
  ]);
});

test("a stream is refused once its route has left the pool or its origin is unknown", async () => {
  for (const origin of [{ pool: "left", build: "v1" }, undefined]) {
    const bound = await bindToOrigin(admittedOf(RESUMED), originsOf(origin));
    const { kind, retryAfterMs } = bound._unsafeUnwrapErr();
    assert.equal(kind, RefusalKind.NotRun);
    assert.ok(retryAfterMs);
  }
});

test("a stream does not go on at a pool that its route sends nothing to", async () => {
  const admitted = admittedOf(RESUMED);
  const pools = admitted.route.pools.map((one) => ({
    ...one,
    weight: one.pool === "other" ? 0 : 1,
  }));
  const bound = await bindToOrigin(
    { ...admitted, route: { ...admitted.route, pools } },
    originsOf({ pool: "other", build: "v1" }),
  );
  assert.equal(bound._unsafeUnwrapErr().kind, RefusalKind.NotRun);
});

test("a stream that is taken up is due like a new one", async () => {
  const admitted = { ...admittedOf(RESUMED), ageMs: 4_000 };
  const origins = originsOf({ pool: "plain", build: "v1" });
  const bound = await bindToOrigin(admitted, origins);
  assert.equal(bound._unsafeUnwrap().ageMs, 0);
});

test("requests that take no stream up are not bound", async () => {
  const origins = originsOf(undefined);
  const others = [
    admittedOf({}),
    admittedOf({ originAttemptId: "begun" }),
    admittedOf(RESUMED, RouteKind.Idempotent),
  ];
  for (const admitted of others) {
    const bound = await bindToOrigin(admitted, origins);
    assert.equal(bound._unsafeUnwrap(), admitted);
  }
  assert.deepEqual(origins.asked, []);
});

test("a stream keeps the identifier of the attempt that began it", () => {
  assert.equal(streamOf(requestOf({})), "again");
  assert.equal(streamOf(requestOf(RESUMED)), "begun");
  assert.equal(streamOf(requestOf({ originAttemptId: "begun" })), "again");
});
