import type { refusalCauses } from './refusalCauses';

/** Limit by which a listener refuses a request or closes a connection. */
export type RefusalCause = (typeof refusalCauses)[number];
