import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { ListedPeer } from "./state_change.ts";
import {
  KeeperOrder,
  onlyOrigin,
  ORIGIN_KEEPERS,
  unacknowledged,
} from "./origin_keepers.ts";
import { Acknowledgements, type OriginRecord } from "./stream_origins.ts";

function peersOf(count: number, domains: number): readonly ListedPeer[] {
  return Array.from({ length: count }, (_, i) => ({
    name: `entry-${i}`,
    url: `http://10.0.0.${i}`,
    failureDomain: `d${i % domains}`,
  }));
}

function recordsOf(count: number): readonly OriginRecord[] {
  return Array.from({ length: count }, (_, i) => ({
    stream: `s${i}`,
    origin: { pool: "plain", build: "v1" },
    expiresAt: 1_000,
  }));
}

const names = (peers: readonly ListedPeer[]) => peers.map(({ name }) => name);

test("KeeperOrder is the same whatever the order of the registrations", () => {
  fc.assert(fc.property(
    fc.shuffledSubarray([...peersOf(12, 3)], { minLength: 12 }),
    fc.string(),
    (shuffled, stream) =>
      assert.deepEqual(
        names(new KeeperOrder(shuffled).of(stream)),
        names(new KeeperOrder(peersOf(12, 3)).of(stream)),
      ),
  ));
});

test("KeeperOrder begins with peers of different failure domains", () => {
  fc.assert(fc.property(
    fc.integer({ min: 1, max: 30 }),
    fc.integer({ min: 1, max: 6 }),
    fc.string(),
    (count, domains, stream) => {
      const order = new KeeperOrder(peersOf(count, domains)).of(stream);
      const distinct = Math.min(count, domains);
      const first = order.slice(0, distinct).map((peer) => peer.failureDomain);
      assert.equal(new Set(first).size, distinct);
      assert.equal(new Set(names(order)).size, count);
    },
  ));
});

test("unacknowledged() names the first usable peers that lack a record", () => {
  fc.assert(fc.property(
    fc.subarray(names(peersOf(8, 3))),
    fc.array(fc.tuple(fc.nat(7), fc.nat(19))),
    (silent, acks) => {
      const order = new KeeperOrder(peersOf(8, 3));
      const isUsable = ({ name }: ListedPeer) => !silent.includes(name);
      const acknowledged = acks.reduce(
        (all, [peer, stream]) => all.add(`entry-${peer}`, [`s${stream}`]),
        new Acknowledgements(),
      );
      const pushes = unacknowledged(recordsOf(20), {
        order,
        acknowledged,
        isUsable,
      });
      recordsOf(20).forEach(({ stream }) => {
        const keepers = order.of(stream)
          .filter((peer) =>
            isUsable(peer) || acknowledged.has(peer.name, stream)
          )
          .slice(0, ORIGIN_KEEPERS);
        const pushed = pushes
          .filter(({ records }) => records.some((one) => one.stream === stream))
          .map(({ peer }) => peer.name);
        const lacking = names(keepers)
          .filter((name) => !acknowledged.has(name, stream));
        assert.deepEqual(pushed.toSorted(), lacking.toSorted());
      });
    },
  ));
});

test("the keepers of a stream are among those asked after one peer was lost", () => {
  fc.assert(fc.property(
    fc.integer({ min: 5, max: 40 }),
    fc.nat(39),
    fc.string(),
    (count, lost, stream) => {
      const order = new KeeperOrder(peersOf(count, 3)).of(stream);
      const keepers = names(order).slice(0, ORIGIN_KEEPERS);
      const asked = names(order)
        .filter((name) => name !== `entry-${lost % count}`)
        .slice(0, ORIGIN_KEEPERS + 1);
      const known = keepers.filter((name) => asked.includes(name));
      assert.ok(known.length >= ORIGIN_KEEPERS - 1);
    },
  ));
});

test("onlyOrigin() is undefined unless all views have the same single build", () => {
  const v1 = new Set(["v1"]);
  const both = new Set(["v1", "v2"]);
  assert.deepEqual(onlyOrigin("plain", [v1, v1]), {
    pool: "plain",
    build: "v1",
  });
  assert.equal(onlyOrigin("plain", [v1, both]), undefined);
  assert.equal(onlyOrigin("plain", [v1, new Set([undefined])]), undefined);
  assert.equal(onlyOrigin("plain", [new Set<string>()]), undefined);
  assert.equal(onlyOrigin("plain", []), undefined);
});
