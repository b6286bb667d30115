import type { Brand } from '../common/Brand';

/** SHA-256 of an API key in base64. Keys themselves are not stored. */
export type KeyDigest = Brand<string, 'KeyDigest'>;
