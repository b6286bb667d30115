import type { JobDefinition } from './JobDefinition';
import type { JobStep } from './JobStep';

/** True for what `definitionSchema` fills in by itself: every box reads every job, so that each byte counts many times. */
const isDefault = (value: unknown): boolean =>
  value === 0 || value === false || value === '' || (Array.isArray(value) && value.length === 0);

const toShortStep = (step: JobStep): Partial<JobStep> =>
  Object.fromEntries(Object.entries(step).filter(([, value]) => !isDefault(value)));

/** Formats an accepted job as the JSON text of its log record, without what is 0, false or empty in its steps. */
export const formatDefinition = (definition: JobDefinition): string =>
  JSON.stringify({ ...definition, steps: definition.steps.map(toShortStep) });
