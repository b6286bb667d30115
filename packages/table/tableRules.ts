import type { Row } from './Row';

interface TableRule {
  readonly name: string;
  /** What a good row looks like. */
  readonly expected: string;
  readonly isKept: (row: Row) => boolean;
}

/** Rules over the cells of one row, found by name. An edit that breaks one is refused. */
export const tableRules: readonly TableRule[] = [
  {
    name: 'expected-within-limit',
    expected: 'expectedMs at most timeLimitMs',
    isKept: (row) => row.expectedMs <= row.timeLimitMs,
  },
  {
    name: 'deadline-reachable',
    expected: 'deadlineMs at least expectedMs',
    isKept: (row) => row.class === 'standing' || row.deadlineMs >= row.expectedMs,
  },
  {
    name: 'replicas-are-standing',
    expected: 'replicas above 0 only with class standing',
    isKept: (row) => row.class === 'standing' || row.replicas === 0,
  },
  {
    name: 'preemptible-is-repeatable',
    expected: 'preemptible only with repeatable, and not with class service',
    isKept: (row) => !row.preemptible || (row.repeatable && row.class !== 'service'),
  },
];
