/** Identifies one version of one model as `model@version`, or a plain service by its name. */
export type VersionId = string;

/** Builds the identifier of a version. */
export const makeVersionId = (model: string, version: string): VersionId => `${model}@${version}`;

/** Returns the model's name in a version identifier. */
export const getModelName = (id: VersionId): string => id.split('@', 1)[0] ?? id;
