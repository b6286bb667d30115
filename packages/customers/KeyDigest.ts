import type { Brand } from '../common/Brand';

/** SHA-256 of a customer's key in base64. Keys themselves are kept nowhere. */
export type KeyDigest = Brand<string, 'KeyDigest'>;
