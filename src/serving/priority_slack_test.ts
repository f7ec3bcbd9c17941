import assert from "node:assert/strict";
import { test } from "node:test";
import { PrioritySlack } from "./priority_slack.ts";

test("PrioritySlack.limitMs() keeps lower priorities below the slack of higher ones", () => {
  const lower = { priority: 1, slackMs: 900 };
  const slack = new PrioritySlack().observe({ priority: 0, slackMs: 400 }, 0)
    .observe({ ...lower, slackMs: 390 }, 0);
  assert.ok(slack.limitMs(lower, 1_000) < 400);
  assert.ok(
    slack.limitMs({ priority: 2, slackMs: 900 }, 1_000) <
      slack.limitMs(lower, 1_000),
  );
});

test("PrioritySlack.limitMs() ignores a priority without recent requests", () => {
  const slack = new PrioritySlack().observe({ priority: 0, slackMs: 400 }, 0);
  assert.equal(slack.limitMs({ priority: 1, slackMs: 900 }, 6_000), 900);
});

test("PrioritySlack.limitMs() returns the own slack of the most urgent priority", () => {
  const slack = new PrioritySlack().observe({ priority: 1, slackMs: 100 }, 0);
  assert.equal(slack.limitMs({ priority: 0, slackMs: 500 }, 0), 500);
});

test("PrioritySlack.overdueLimitMs() admits overdue requests to spare capacity only", () => {
  const slack = new PrioritySlack().observe({ priority: 0, slackMs: 800 }, 0);
  assert.equal(slack.overdueLimitMs(1, 5_000, 0), 200);
  assert.equal(slack.overdueLimitMs(1, 100, 0), 100);
  assert.equal(slack.overdueLimitMs(1, 5_000, 60_000), 5_000);
});
