import { createHash } from 'node:crypto';
import { toId } from '../common/toId';
import type { KeyDigest } from './KeyDigest';

/** Returns the digest under which an API key is stored and looked up. */
export const toKeyDigest = (key: string): KeyDigest =>
  toId<KeyDigest>(createHash('sha256').update(key).digest('base64'));
