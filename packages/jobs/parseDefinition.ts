import { parseJson } from '../common/parseJson';
import { definitionSchema } from './definitionSchema';
import type { JobDefinition } from './JobDefinition';
import type { JobId } from './JobId';
import { checkDefinition } from './checkDefinition';

/** Parses the log record of an accepted job; undefined when it is malformed, has another id, or its steps are invalid. */
export const parseDefinition = (id: JobId, text: string): JobDefinition | undefined => {
  const parsed = definitionSchema.safeParse(parseJson(text));
  if (!parsed.success || parsed.data.id !== id) {
    return undefined;
  }
  const { steps, times } = parsed.data;
  return checkDefinition(steps, times) === undefined ? parsed.data : undefined;
};
