import assert from "node:assert/strict";
import { test } from "node:test";
import type { StageCall } from "../model/mod.ts";
import { type Claim, ClaimState, createClaim, decideClaim } from "./claim.ts";

const NOW = 1_000_000;

const claim = (token: string, over: Partial<Claim> = {}): Claim => ({
  ...createClaim(
    {
      customer: "c",
      fingerprint: "f",
      target: "t",
      remainingMs: 4_000,
    } as StageCall,
    { token, now: NOW },
  ),
  ...over,
});

const decide = (standing: Claim, now = NOW) =>
  decideClaim(standing, claim("own"), now);

test("decideClaim() runs the attempt that holds the claim", () => {
  assert.deepEqual(decide(claim("own")), { kind: "run" });
});

test("decideClaim() never runs on another attempt's claim", () => {
  Object.values(ClaimState).forEach((state) =>
    assert.notEqual(decide(claim("other", { state })).kind, "run")
  );
});

test("decideClaim() refuses another body as a conflict", () => {
  const decision = decide(claim("other", { fingerprint: "g" }));
  assert.equal(
    decision.kind === "refuse" && decision.refusal.reason,
    "key-conflict",
  );
});

test("decideClaim() tells running from unknown by the attempt's end", () => {
  const reasonAt = (now: number) => {
    const decision = decide(claim("other"), now);
    return decision.kind === "refuse" && decision.refusal.reason;
  };
  assert.equal(reasonAt(NOW), "key-running");
  assert.equal(reasonAt(NOW + 4_001), "key-unknown");
});
