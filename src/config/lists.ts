/**
 * Check of the operators' lists before they are accepted.
 *
 * @module
 */

import { Err, Ok } from "ts-results-es";
import { z } from "zod";
import {
  type CustomerList,
  Priority,
  StageKind,
  type UseList,
} from "../model/mod.ts";
import { check, type Checked, type Finding } from "./finding.ts";

const name = z.string().regex(
  /^[a-z0-9][a-z0-9-]*$/,
  "Use lower-case letters, digits and dashes",
);

const customerListSchema = z.strictObject({
  customers: z.array(z.strictObject({
    id: name,
    plan: name,
    keySha256: z.string().regex(/^[0-9a-f]{64}$/, "Use a SHA-256 in hex"),
  })),
});

const stageSchema = z.strictObject({
  name,
  kind: z.enum(StageKind),
  pool: name,
  idempotent: z.boolean(),
  maxTokens: z.int().positive().optional(),
  model: z.string().optional(),
  expectedMs: z.number().positive(),
});

const useListSchema = z.strictObject({
  plans: z.array(z.strictObject({
    name,
    weight: z.number().positive(),
    maxConcurrent: z.int().positive(),
    pipelines: z.array(name),
  })),
  pipelines: z.array(z.strictObject({
    name,
    stages: z.array(stageSchema).min(1),
    durable: z.boolean(),
    priority: z.enum(Priority),
    deadlineMs: z.int().positive(),
  })),
});

/** Checks the form of the customer list. */
export function checkCustomerList(value: unknown): Checked<CustomerList> {
  return check(customerListSchema, value);
}

/** Checks the form of the list of what each plan may use. */
export function checkUseList(value: unknown): Checked<UseList> {
  return check(useListSchema, value);
}

/** Checks that the two lists agree with each other. */
export function checkTogether(
  customers: CustomerList,
  use: UseList,
): Checked<true> {
  const findings = [
    ...repeated(customers.customers.map((c) => c.id), "$.customers"),
    ...repeated(customers.customers.map((c) => c.keySha256), "$.customers"),
    ...repeated(use.plans.map((plan) => plan.name), "$.plans"),
    ...repeated(use.pipelines.map((p) => p.name), "$.pipelines"),
    ...unknownPlans(customers, use),
    ...unknownPipelines(use),
    ...use.pipelines.flatMap((pipeline, i) =>
      repeated(
        pipeline.stages.map((stage) => stage.name),
        `$.pipelines[${i}].stages`,
      )
    ),
  ];
  return findings.length === 0 ? Ok(true) : Err(findings);
}

function unknownPlans(customers: CustomerList, use: UseList): Finding[] {
  const plans = new Set(use.plans.map((plan) => plan.name));
  return customers.customers.flatMap((customer, i) =>
    plans.has(customer.plan) ? [] : [{
      path: `$.customers[${i}].plan`,
      message: `No plan is called ${customer.plan}`,
    }]
  );
}

function unknownPipelines(use: UseList): Finding[] {
  const known = new Set(use.pipelines.map((pipeline) => pipeline.name));
  return use.plans.flatMap((plan, i) =>
    plan.pipelines.flatMap((pipeline, j) =>
      known.has(pipeline) ? [] : [{
        path: `$.plans[${i}].pipelines[${j}]`,
        message: `No pipeline is called ${pipeline}`,
      }]
    )
  );
}

function repeated(names: readonly string[], path: string): Finding[] {
  return names.flatMap((item, i) =>
    names.indexOf(item) === i
      ? []
      : [{ path: `${path}[${i}]`, message: `${item} stands here twice` }]
  );
}
