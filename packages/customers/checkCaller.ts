import type { CallerCheck } from './CallerCheck';
import type { CallerKey } from './CallerKey';
import type { CustomerDirectory } from './CustomerDirectory';

interface CallerCheckInput {
  readonly key: CallerKey;
  /** True when the queue is open to all. */
  readonly isOpen: boolean;
  readonly customers: CustomerDirectory;
  /** False when keys may have been revoked without this box knowing, and the settings require a fresh configuration. */
  readonly isFresh: boolean;
}

const toRefusal = (key: CallerKey): CallerCheck => ({
  kind: 'refused',
  reason: key.kind === 'none' ? 'no key' : key.kind === 'malformed' ? 'malformed key' : 'unknown key',
});

/** Decides whether a request may use a queue, and for which customer. */
export const checkCaller = ({ key, isOpen, customers, isFresh }: CallerCheckInput): CallerCheck => {
  const customer = key.kind === 'given' ? customers.findByKey(key.key) : undefined;
  if (isOpen) {
    return { kind: 'admitted', customer };
  }
  if (!isFresh) {
    return { kind: 'stale' };
  }
  return customer === undefined ? toRefusal(key) : { kind: 'admitted', customer };
};
