import type { CallerCheckResult } from './CallerCheckResult';
import type { CallerKey } from './CallerKey';
import type { CustomerDirectory } from './CustomerDirectory';

interface CallerCheckInput {
  readonly key: CallerKey;
  /** True when the queue is open to all. */
  readonly isOpen: boolean;
  readonly customers: CustomerDirectory;
  /** False when the settings require a fresh configuration, and that of this box is too old. */
  readonly isConfigFresh: boolean;
}

const toRefusal = (key: CallerKey): CallerCheckResult => ({
  kind: 'refused',
  reason: key.kind === 'none' ? 'no key' : key.kind === 'malformed' ? 'malformed key' : 'unknown key',
});

/**
 * Checks whether a request may use a queue, and for which customer. An open queue admits every request; any other needs a fresh
 * configuration and a known key.
 */
export const checkCaller = ({
  key,
  isOpen,
  customers,
  isConfigFresh,
}: CallerCheckInput): CallerCheckResult => {
  const customer = key.kind === 'given' ? customers.findByKey(key.key) : undefined;
  if (isOpen) {
    return { kind: 'admitted', customer };
  }
  if (!isConfigFresh) {
    return { kind: 'stale' };
  }
  return customer === undefined ? toRefusal(key) : { kind: 'admitted', customer };
};
