/**
 * Check of the operators' lists before they are accepted.
 *
 * @module
 */

import { Err, Ok } from "ts-results-es";
import { z } from "zod";
import {
  type Availability,
  canonicalJson,
  type CustomerList,
  type Lists,
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

const listsFileSchema = z.strictObject({
  version: z.int().nonnegative().optional(),
  customers: customerListSchema.shape.customers.optional(),
  plans: useListSchema.shape.plans.optional(),
  pipelines: useListSchema.shape.pipelines.optional(),
  availability: z.strictObject({
    domainsOut: z.array(z.string()),
    hostsOut: z.array(z.string()),
  }).optional(),
});

/** Lists that an operator wants accepted. */
export interface ListsFile {
  /** Version that the operator started from. */
  readonly version?: number;
  readonly customers?: CustomerList;
  readonly use?: UseList;
}

/**
 * Checks a file of lists together with what stands, and reports every finding.
 * A list that the file leaves out stays as it stands.
 */
export function checkListsFile(
  value: unknown,
  standing: Lists,
): Checked<ListsFile> {
  const form = check(listsFileSchema, value);
  const file = partsOf(value, standing);
  const together = checkTogether(file.customers, file.use);
  const findings = [
    ...(form.isErr() ? form.error : []),
    ...(together.isErr() ? together.error : []),
    ...(form.isOk() ? changedAvailability(form.value, standing) : []),
  ];
  if (findings.length > 0 || form.isErr()) return Err(findings);
  const { version, customers, plans, pipelines } = form.value;
  return Ok({
    version,
    customers: customers ? { customers } : undefined,
    use: plans || pipelines ? file.use : undefined,
  });
}

/** A file may repeat the availability that stands; orders alone change it. */
function changedAvailability(
  { availability }: { availability?: Availability },
  standing: Lists,
): Finding[] {
  return availability === undefined ||
      canonicalJson(availability) === canonicalJson(standing.availability)
    ? []
    : [{
      path: "$.availability",
      message: "Change this with domain out|in and host out|in",
    }];
}

/** The parts of well-formed members; members with faults count as absent. */
function partsOf(
  value: unknown,
  standing: { customers: CustomerList; use: UseList },
): { customers: CustomerList; use: UseList } {
  const { customers, plans, pipelines } = listsFileSchema.shape;
  const members = Object(value) as Record<string, unknown>;
  return {
    customers: {
      customers: customers.safeParse(members.customers).data ??
        standing.customers.customers,
    },
    use: {
      plans: plans.safeParse(members.plans).data ?? standing.use.plans,
      pipelines: pipelines.safeParse(members.pipelines).data ??
        standing.use.pipelines,
    },
  };
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
  const seen = new Set<string>();
  return names.flatMap((item, i) => {
    if (!seen.has(item)) {
      seen.add(item);
      return [];
    }
    return [{ path: `${path}[${i}]`, message: `${item} stands here twice` }];
  });
}
