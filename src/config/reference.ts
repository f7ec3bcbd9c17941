/**
 * Reference of the settings, written from their schemas.
 *
 * @module
 */

import { z } from "zod";
import { listsFileSchema } from "./lists.ts";
import { agentSettingsSchema, entrySettingsSchema } from "./settings.ts";

/** The parts of JSON Schema that the reference reads. */
interface Node {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly enum?: readonly unknown[];
  readonly format?: string;
  readonly properties?: Readonly<Record<string, Node>>;
  readonly required?: readonly string[];
  readonly items?: Node;
}

/** What the reference describes. */
const DOCUMENTED = [
  {
    title: "Entry",
    command: "cassiapost entry --settings FILE",
    schema: entrySettingsSchema,
  },
  {
    title: "Agent",
    command: "cassiapost agent --settings FILE",
    schema: agentSettingsSchema,
  },
  {
    title: "Lists",
    command: "cassiapost lists check|apply FILE",
    schema: listsFileSchema,
  },
] as const;

/** Markdown page with one table for each kind of file. */
export function settingsReference(): string {
  const sections = DOCUMENTED.map(({ title, command, schema }) =>
    [
      `## ${title}`,
      "",
      `For \`${command}\`.`,
      "",
      "| key | form | default | meaning |",
      "| --- | --- | --- | --- |",
      ...rowsOf(z.toJSONSchema(schema, { io: "input" }) as Node, ""),
    ].join("\n")
  );
  return [HEADING, ...sections].join("\n\n") + "\n";
}

const HEADING = `# Settings and lists

Settings are one JSON file for each process; the operators' lists are JSON files
too. All faults of a file are reported together, each with its JSON path;
unknown keys are refused. \`--check\` checks settings without running the
process, \`lists check\` checks a lists file without applying it. This page is written by
\`npm run docs:settings\`.`;

function rowsOf(node: Node, prefix: string): string[] {
  return Object.entries(node.properties ?? {}).flatMap(([name, member]) => {
    const path = `${prefix}${name}`;
    const inner = member.items?.properties
      ? rowsOf(member.items, `${path}[].`)
      : rowsOf(member, `${path}.`);
    const required = node.required?.includes(name) ?? false;
    return [rowOf(path, member, required), ...inner];
  });
}

function rowOf(path: string, member: Node, required: boolean): string {
  const cells = [
    `\`${path}\``,
    formOf(member),
    defaultOf(member, required),
    member.description ?? "",
  ];
  return `| ${cells.join(" | ")} |`;
}

function formOf(member: Node): string {
  if (member.enum) return member.enum.map((one) => `\`${one}\``).join(", ");
  return member.format === "uri" ? "URL" : member.type ?? "any";
}

function defaultOf(member: Node, required: boolean): string {
  if (member.default !== undefined) {
    return `\`${JSON.stringify(member.default)}\``;
  }
  return required ? "required" : "none";
}
