import { createHash } from 'node:crypto';
import { toId } from '../common/toId';
import type { KeyDigest } from './KeyDigest';

/** The digest under which a key is kept and looked up; a key cannot be read back from it. */
export const toKeyDigest = (key: string): KeyDigest =>
  toId<KeyDigest>(createHash('sha256').update(key).digest('base64'));
