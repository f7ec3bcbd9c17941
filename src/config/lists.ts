/**
 * Validation of the operators' lists before they are accepted.
 *
 * @module
 */

import { Err, Ok } from "ts-results-es";
import { z } from "zod";
import {
  type Availability,
  canonicalJson,
  EMPTY_LISTS,
  type Lists,
  type OrganisationList,
  Priority,
  StageKind,
  type UseList,
} from "../model/mod.ts";
import { check, type Checked, type Finding } from "./finding.ts";

const nameSchema = z.string().regex(
  /^[a-z0-9][a-z0-9-]*$/,
  "Use lower-case letters, digits and dashes",
);

const organisationListSchema = z.strictObject({
  organisations: z.array(z.strictObject({
    id: nameSchema.describe("Name of the organisation"),
    plan: nameSchema.describe("Plan of the organisation"),
    keySha256: z.string().regex(
      /^[0-9a-f]{64}$/,
      "Use a SHA-256 digest in lower-case hexadecimal",
    )
      .describe("SHA-256 of the organisation's key"),
  })),
});

const stageSchema = z.strictObject({
  name: nameSchema.describe("Name of the stage, unique in its pipeline"),
  kind: z.enum(StageKind).describe("Kind of work of the stage"),
  pool: nameSchema.describe("Pool whose targets run the stage"),
  idempotent: z.boolean()
    .describe("False when running a call twice would do harm"),
  maxTokens: z.int().positive().optional()
    .describe("Maximum number of tokens that a generate stage may produce"),
  model: z.string().optional()
    .describe("Model or adapter that a generate stage requests"),
  expectedMs: z.number().positive()
    .describe(
      "Expected time of a call without load, in ms; replaced by measured times",
    ),
});

const useListSchema = z.strictObject({
  plans: z.array(z.strictObject({
    name: nameSchema.describe("Name of the plan"),
    weight: z.number().positive()
      .describe(
        "Weight of each organisation on the plan when capacity is shared",
      ),
    maxConcurrent: z.int().positive()
      .describe(
        "Maximum number of requests of an organisation in flight in the fleet",
      ),
    pipelines: z.array(nameSchema).describe("Pipelines that the plan may use"),
  })),
  pipelines: z.array(z.strictObject({
    name: nameSchema.describe("Name of the pipeline"),
    stages: z.array(stageSchema).min(1)
      .describe("Stages in execution order"),
    durable: z.boolean()
      .describe(
        "True when the result of each stage is stored for resumed requests",
      ),
    priority: z.enum(Priority).describe(
      "Priority of the pipeline's calls at the gates",
    ),
    deadlineMs: z.int().positive()
      .describe("Deadline of requests that specify none, in ms"),
  })),
});

/** Checks the organisation list against its schema. */
export function checkOrganisationList(
  value: unknown,
): Checked<OrganisationList> {
  return check(organisationListSchema, value);
}

/** Checks the list of plans and pipelines against its schema. */
export function checkUseList(value: unknown): Checked<UseList> {
  return check(useListSchema, value);
}

/** Schema of a file for `lists check` and `lists apply`. */
export const listsFileSchema = z.strictObject({
  version: z.int().nonnegative().optional()
    .describe(
      "Version of the lists that the file is based on; must be the current one",
    ),
  organisations: organisationListSchema.shape.organisations.optional()
    .describe("First list: organisations and their plans"),
  plans: useListSchema.shape.plans.optional()
    .describe("Second list: plans and the pipelines that they may use"),
  pipelines: useListSchema.shape.pipelines.optional()
    .describe("Second list: pipelines and their stages"),
  availability: z.strictObject({
    domainsOut: z.array(z.string()).describe("Failure domains out of service"),
    hostsOut: z.array(z.string()).describe("Hosts out of service"),
  }).optional()
    .describe(
      "As printed by `lists show`; changed only by `domain` and `host`",
    ),
});

/** Lists that an operator submits; absent ones remain unchanged. */
export interface ListsFile {
  /** Version of the lists that the change is based on. */
  readonly version?: number;
  readonly organisations?: OrganisationList;
  readonly use?: UseList;
}

/**
 * Checks a lists file against the current lists and reports all findings. A
 * list that is absent in the file is taken from the current lists.
 */
export function checkListsFile(
  value: unknown,
  current: Lists,
): Checked<ListsFile> {
  const checked = check(listsFileSchema, value);
  const findings = [
    ...(checked.isErr() ? checked.error : []),
    ...findInconsistencies(uncheckedLists(value, current)),
    ...(checked.isOk() ? findChangedAvailability(checked.value, current) : []),
  ];
  if (findings.length > 0 || checked.isErr()) return Err(findings);
  const { version, organisations, plans, pipelines } = checked.value;
  const use = {
    plans: plans ?? current.use.plans,
    pipelines: pipelines ?? current.use.pipelines,
  };
  return Ok({
    version,
    organisations: organisations ? { organisations } : undefined,
    use: plans || pipelines ? use : undefined,
  });
}

/** Checks that the two lists are consistent with each other. */
export function checkConsistency(
  organisations: OrganisationList,
  use: UseList,
): Checked<true> {
  const findings = findInconsistencies(
    uncheckedLists({ ...organisations, ...use }, EMPTY_LISTS),
  );
  return findings.length === 0 ? Ok(true) : Err(findings);
}

/**
 * Reports a changed availability list. A file may repeat the current one, which
 * only the commands `domain` and `host` change. A file of another version is
 * not checked here, since it is refused for its version.
 */
function findChangedAvailability(
  { version, availability }: { version?: number; availability?: Availability },
  current: Lists,
): Finding[] {
  const isOtherVersion = version !== undefined && version !== current.version;
  return isOtherVersion || availability === undefined ||
      canonicalJson(availability) === canonicalJson(current.availability)
    ? []
    : [{
      path: "$.availability",
      message: "Changed only by the commands domain out|in and host out|in",
    }];
}

/** Names in unchecked lists; undefined where a name is not a string. */
interface UncheckedLists {
  readonly organisations: readonly UncheckedOrganisation[];
  readonly plans: readonly UncheckedPlan[];
  readonly pipelines: readonly UncheckedPipeline[];
}

interface UncheckedOrganisation {
  readonly id?: string;
  readonly plan?: string;
  readonly keySha256?: string;
}

interface UncheckedPlan {
  readonly name?: string;
  readonly pipelines: readonly (string | undefined)[];
}

interface UncheckedPipeline {
  readonly name?: string;
  readonly stages: readonly (string | undefined)[];
}

/** Returns the names in a file, with the current ones for absent lists. */
function uncheckedLists(value: unknown, current: Lists): UncheckedLists {
  const file = membersOf(value);
  const itemsOrDefault = (name: string, fallback: readonly unknown[]) =>
    file[name] === undefined ? fallback : itemsOf(file[name]);
  return {
    organisations: itemsOrDefault(
      "organisations",
      current.organisations.organisations,
    )
      .map(membersOf)
      .map((organisation) => ({
        id: textOf(organisation.id),
        plan: textOf(organisation.plan),
        keySha256: textOf(organisation.keySha256),
      })),
    plans: itemsOrDefault("plans", current.use.plans).map(membersOf)
      .map((plan) => ({
        name: textOf(plan.name),
        pipelines: itemsOf(plan.pipelines).map(textOf),
      })),
    pipelines: itemsOrDefault("pipelines", current.use.pipelines).map(membersOf)
      .map((pipeline) => ({
        name: textOf(pipeline.name),
        stages: itemsOf(pipeline.stages).map((stage) =>
          textOf(membersOf(stage).name)
        ),
      })),
  };
}

function membersOf(value: unknown): Record<string, unknown> {
  return Object(value) as Record<string, unknown>;
}

function itemsOf(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
}

function textOf(value: unknown): string | undefined {
  return typeof value === "string" ? value : undefined;
}

/** Finds duplicate and unknown names, which the schemas do not detect. */
function findInconsistencies(lists: UncheckedLists): Finding[] {
  const { organisations, plans, pipelines } = lists;
  return [
    ...findDuplicates(organisations.map(({ id }) => id), "$.organisations"),
    ...findDuplicates(
      organisations.map((organisation) => organisation.keySha256),
      "$.organisations",
    ),
    ...findDuplicates(plans.map(({ name }) => name), "$.plans"),
    ...findDuplicates(pipelines.map(({ name }) => name), "$.pipelines"),
    ...findUnknownPlans(lists),
    ...findUnknownPipelines(lists),
    ...pipelines.flatMap(({ stages }, i) =>
      findDuplicates(stages, `$.pipelines[${i}].stages`)
    ),
  ];
}

function findUnknownPlans({ organisations, plans }: UncheckedLists): Finding[] {
  const known = new Set(plans.map(({ name }) => name));
  return organisations.flatMap(({ plan }, i) =>
    plan === undefined || known.has(plan) ? [] : [{
      path: `$.organisations[${i}].plan`,
      message: `No plan is called ${plan}`,
    }]
  );
}

function findUnknownPipelines({ plans, pipelines }: UncheckedLists): Finding[] {
  const known = new Set(pipelines.map(({ name }) => name));
  return plans.flatMap((plan, i) =>
    plan.pipelines.flatMap((pipeline, j) =>
      pipeline === undefined || known.has(pipeline) ? [] : [{
        path: `$.plans[${i}].pipelines[${j}]`,
        message: `No pipeline is called ${pipeline}`,
      }]
    )
  );
}

function findDuplicates(
  names: readonly (string | undefined)[],
  path: string,
): Finding[] {
  const seen = new Set<string>();
  return names.flatMap((item, i) => {
    if (item === undefined) return [];
    if (!seen.has(item)) {
      seen.add(item);
      return [];
    }
    return [{
      path: `${path}[${i}]`,
      message: `${item} occurs more than once`,
    }];
  });
}
