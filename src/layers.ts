/**
 * Layers of the code, the lowest first. A module imports only from its own
 * folder and from folders of lower layers.
 *
 * @module
 */

/** Folders below `src`; the folders of one layer do not import each other. */
export const LAYERS: readonly (readonly string[])[] = [
  ["kernel"],
  ["telemetry"],
  ["model"],
  ["config"],
  ["tls"],
  [
    "routing",
    "admission",
    "limits",
    "retry",
    "membership",
    "freshness",
    "lists",
    "lease",
    "ledger",
    "pipeline",
  ],
  ["serving"],
  ["wire", "store"],
  ["process"],
  ["entry", "agent", "gateway"],
  ["testing"],
  ["standin"],
  ["load"],
  ["launch"],
  ["bench", "soak"],
  ["cli"],
];

/** One import that breaks the rule. */
export interface LayerFinding {
  readonly file: string;
  readonly imported: string;
  readonly message: string;
}

const IMPORT_PATTERN = /from "(\.[^"]+)"|import\("(\.[^"]+)"\)/g;

/**
 * Folders that the adapter to the platform may import: it stands above the
 * gateway and knows nothing of the product's own entries and agents.
 */
const ADAPTER_IMPORTS =
  /^(?:\.\.\/)+src\/(config|gateway|serving|standin|telemetry|testing|kernel)\/mod\.ts$/;

/** Finds the imports of an adapter's file that break the layer rule. */
export function checkAdapterImports(
  file: string,
  text: string,
): LayerFinding[] {
  return [...text.matchAll(IMPORT_PATTERN)]
    .map((match) => match[1] ?? match[2] ?? "")
    .filter((imported) => imported.includes("/src/"))
    .filter((imported) => !ADAPTER_IMPORTS.test(imported))
    .map((imported) => ({
      file,
      imported,
      message: "Import the mod.ts of a folder that adapters may use",
    }));
}

/** Finds the imports of one file that break the layer rule. */
export function checkImports(file: string, text: string): LayerFinding[] {
  const own = folderOf(file);
  if (own === undefined) return [];
  const imports = [...text.matchAll(IMPORT_PATTERN)]
    .map((match) => match[1] ?? match[2] ?? "");
  return imports.flatMap((imported) => {
    const message = faultOf(own, imported);
    return message ? [{ file, imported, message }] : [];
  });
}

function faultOf(own: string, imported: string): string | undefined {
  if (imported.startsWith("./")) return undefined;
  const [, folder, name] = /^\.\.\/([a-z]+)\/(.+)$/.exec(imported) ?? [];
  if (folder === undefined) return "Import by ../FOLDER/mod.ts";
  if (name !== "mod.ts") return "Import the folder's mod.ts";
  return layerOf(folder) < layerOf(own)
    ? undefined
    : `${folder} is not below ${own}`;
}

function layerOf(folder: string): number {
  const layer = LAYERS.findIndex((folders) => folders.includes(folder));
  if (layer < 0) throw new Error(`Folder ${folder} belongs to no layer`);
  return layer;
}

/** Folder of a file `FOLDER/NAME.ts`; undefined for files outside folders. */
function folderOf(file: string): string | undefined {
  const parts = file.split("/");
  return parts.length > 1 ? parts[0] : undefined;
}
