import type { CallerCheck } from './CallerCheck';
import type { CallerKey } from './CallerKey';
import type { CustomerDirectory } from './CustomerDirectory';

interface CallerInput {
  readonly key: CallerKey;
  /** True for queues that are open to all. */
  readonly isOpen: boolean;
  readonly customers: CustomerDirectory;
  /** False while keys may have been taken away that this box has not heard of, and the settings ask for strictness. */
  readonly isFresh: boolean;
}

const toRefusal = (key: CallerKey): CallerCheck => ({
  kind: 'refused',
  reason: key.kind === 'none' ? 'no key' : key.kind === 'malformed' ? 'malformed key' : 'unknown key',
});

/** Decides whether a call may use a queue, and for whom. */
export const checkCaller = ({ key, isOpen, customers, isFresh }: CallerInput): CallerCheck => {
  const customer = key.kind === 'given' ? customers.findByKey(key.key) : undefined;
  if (isOpen) {
    return { kind: 'admitted', customer };
  }
  if (!isFresh) {
    return { kind: 'stale' };
  }
  return customer === undefined ? toRefusal(key) : { kind: 'admitted', customer };
};
