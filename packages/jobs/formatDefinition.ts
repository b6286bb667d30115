import type { JobDefinition } from './JobDefinition';
import type { JobStep } from './JobStep';

/** Returns true for the default values of `definitionSchema`, which are omitted since every box reads every job. */
const isDefaultValue = (value: unknown): boolean =>
  value === 0 || value === false || value === '' || (Array.isArray(value) && value.length === 0);

const toCompactStep = (step: JobStep): Partial<JobStep> =>
  Object.fromEntries(Object.entries(step).filter(([, value]) => !isDefaultValue(value)));

/** Formats an accepted job as the JSON text of its log record, without the default values in its steps. */
export const formatDefinition = (definition: JobDefinition): string =>
  JSON.stringify({ ...definition, steps: definition.steps.map(toCompactStep) });
