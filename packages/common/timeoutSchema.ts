import { durationSchema } from './durationSchema';

/** Schema of a time limit in milliseconds that another process sets. */
export const timeoutSchema = durationSchema.positive();
