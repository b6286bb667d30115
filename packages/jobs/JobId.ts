import type { Brand } from '../common/Brand';

/** Id of a job: 16 hexadecimal digits, chosen by the caller. */
export type JobId = Brand<string, 'JobId'>;
