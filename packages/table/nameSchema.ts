import { z } from 'zod';

/** Checks a name of a row or team: lower case letters, digits and dashes, a letter first, at most 63. */
export const nameSchema = z
  .string()
  .regex(/^[a-z][a-z0-9-]{0,62}$/, 'expected lower case letters, digits and dashes, a letter first');
