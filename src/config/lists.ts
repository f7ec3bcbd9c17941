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
  EMPTY_LISTS,
  type Lists,
  type OrganisationList,
  Priority,
  StageKind,
  type UseList,
} from "../model/mod.ts";
import { check, type Checked, type Finding } from "./finding.ts";

const name = z.string().regex(
  /^[a-z0-9][a-z0-9-]*$/,
  "Use lower-case letters, digits and dashes",
);

const organisationListSchema = z.strictObject({
  organisations: z.array(z.strictObject({
    id: name.describe("Name of the organisation"),
    plan: name.describe("Plan that the organisation is on"),
    keySha256: z.string().regex(/^[0-9a-f]{64}$/, "Use a SHA-256 in hex")
      .describe("SHA-256 of the organisation's key"),
  })),
});

const stageSchema = z.strictObject({
  name: name.describe("Name of the stage, unique in its pipeline"),
  kind: z.enum(StageKind).describe("What the stage does"),
  pool: name.describe("Pool whose targets run the stage"),
  idempotent: z.boolean()
    .describe("False when a second run of the call does harm"),
  maxTokens: z.int().positive().optional()
    .describe("Most tokens that a generate stage may produce"),
  model: z.string().optional()
    .describe("Model or adapter that a generate stage asks for"),
  expectedMs: z.number().positive()
    .describe("Time of an unloaded call, in ms; measured times replace it"),
});

const useListSchema = z.strictObject({
  plans: z.array(z.strictObject({
    name: name.describe("Name of the plan"),
    weight: z.number().positive()
      .describe("Weight of each organisation on the plan in the fair shares"),
    maxConcurrent: z.int().positive()
      .describe("Most requests of one organisation in hand across the fleet"),
    pipelines: z.array(name).describe("Pipelines that the plan may use"),
  })),
  pipelines: z.array(z.strictObject({
    name: name.describe("Name of the pipeline"),
    stages: z.array(stageSchema).min(1)
      .describe("Stages in the order in which they run"),
    durable: z.boolean()
      .describe("True when stage results are kept for a resumed request"),
    priority: z.enum(Priority).describe("Priority at the gates"),
    deadlineMs: z.int().positive()
      .describe("Deadline of a request that names none, in ms"),
  })),
});

/** Checks the form of the organisation list. */
export function checkOrganisationList(
  value: unknown,
): Checked<OrganisationList> {
  return check(organisationListSchema, value);
}

/** Checks the form of the list of what each plan may use. */
export function checkUseList(value: unknown): Checked<UseList> {
  return check(useListSchema, value);
}

/** Schema of a file for `lists check` and `lists apply`. */
export const listsFileSchema = z.strictObject({
  version: z.int().nonnegative().optional()
    .describe("Version that the file was made from; refused when it is old"),
  organisations: organisationListSchema.shape.organisations.optional()
    .describe("First list: the organisations and their plans"),
  plans: useListSchema.shape.plans.optional()
    .describe("Second list: what each plan may use"),
  pipelines: useListSchema.shape.pipelines.optional()
    .describe("Second list: the pipelines"),
  availability: z.strictObject({
    domainsOut: z.array(z.string()).describe("Failure domains out of service"),
    hostsOut: z.array(z.string()).describe("Hosts out of service"),
  }).optional()
    .describe("As `lists show` prints it; changed only by `domain` and `host`"),
});

/** Lists that an operator wants accepted. */
export interface ListsFile {
  /** Version that the operator started from. */
  readonly version?: number;
  readonly organisations?: OrganisationList;
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
  const findings = [
    ...(form.isErr() ? form.error : []),
    ...findTogether(looseLists(value, standing)),
    ...(form.isOk() ? changedAvailability(form.value, standing) : []),
  ];
  if (findings.length > 0 || form.isErr()) return Err(findings);
  const { version, organisations, plans, pipelines } = form.value;
  const use = {
    plans: plans ?? standing.use.plans,
    pipelines: pipelines ?? standing.use.pipelines,
  };
  return Ok({
    version,
    organisations: organisations ? { organisations } : undefined,
    use: plans || pipelines ? use : undefined,
  });
}

/** Checks that the two lists agree with each other. */
export function checkTogether(
  organisations: OrganisationList,
  use: UseList,
): Checked<true> {
  const findings = findTogether(
    looseLists({ ...organisations, ...use }, EMPTY_LISTS),
  );
  return findings.length === 0 ? Ok(true) : Err(findings);
}

/**
 * A file may repeat the availability that stands; orders alone change it. A file
 * from an older version is refused for its version.
 */
function changedAvailability(
  { version, availability }: { version?: number; availability?: Availability },
  standing: Lists,
): Finding[] {
  const isOlder = version !== undefined && version !== standing.version;
  return isOlder || availability === undefined ||
      canonicalJson(availability) === canonicalJson(standing.availability)
    ? []
    : [{
      path: "$.availability",
      message: "Change this with domain out|in and host out|in",
    }];
}

/** Lists whose members may have faults; a faulty name is undefined. */
interface LooseLists {
  readonly organisations: readonly LooseOrganisation[];
  readonly plans: readonly LoosePlan[];
  readonly pipelines: readonly LoosePipeline[];
}

interface LooseOrganisation {
  readonly id?: string;
  readonly plan?: string;
  readonly keySha256?: string;
}

interface LoosePlan {
  readonly name?: string;
  readonly pipelines: readonly (string | undefined)[];
}

interface LoosePipeline {
  readonly name?: string;
  readonly stages: readonly (string | undefined)[];
}

/** The names in a file, with what stands in place of absent lists. */
function looseLists(value: unknown, standing: Lists): LooseLists {
  const file = membersOf(value);
  const listed = (name: string, otherwise: readonly unknown[]) =>
    file[name] === undefined ? otherwise : itemsOf(file[name]);
  return {
    organisations: listed("organisations", standing.organisations.organisations)
      .map(membersOf)
      .map((one) => ({
        id: textOf(one.id),
        plan: textOf(one.plan),
        keySha256: textOf(one.keySha256),
      })),
    plans: listed("plans", standing.use.plans).map(membersOf).map((one) => ({
      name: textOf(one.name),
      pipelines: itemsOf(one.pipelines).map(textOf),
    })),
    pipelines: listed("pipelines", standing.use.pipelines).map(membersOf)
      .map((one) => ({
        name: textOf(one.name),
        stages: itemsOf(one.stages).map((stage) =>
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

/** Findings that the form of each member alone does not show. */
function findTogether(lists: LooseLists): Finding[] {
  const { organisations, plans, pipelines } = lists;
  return [
    ...repeated(organisations.map(({ id }) => id), "$.organisations"),
    ...repeated(organisations.map((one) => one.keySha256), "$.organisations"),
    ...repeated(plans.map(({ name }) => name), "$.plans"),
    ...repeated(pipelines.map(({ name }) => name), "$.pipelines"),
    ...unknownPlans(lists),
    ...unknownPipelines(lists),
    ...pipelines.flatMap(({ stages }, i) =>
      repeated(stages, `$.pipelines[${i}].stages`)
    ),
  ];
}

function unknownPlans({ organisations, plans }: LooseLists): Finding[] {
  const known = new Set(plans.map(({ name }) => name));
  return organisations.flatMap(({ plan }, i) =>
    plan === undefined || known.has(plan) ? [] : [{
      path: `$.organisations[${i}].plan`,
      message: `No plan is called ${plan}`,
    }]
  );
}

function unknownPipelines({ plans, pipelines }: LooseLists): Finding[] {
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

function repeated(
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
    return [{ path: `${path}[${i}]`, message: `${item} stands here twice` }];
  });
}
