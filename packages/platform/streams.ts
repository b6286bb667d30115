import type { HallId } from '../common/HallId';
import { toId } from '../common/toId';
import type { StreamName } from './StreamName';

/** The streams that stairline keeps in the platform's log. */
export const streams = {
  /** Operators' edits and table snapshots of a cell. */
  toTableStream: (cell: string): StreamName => toId<StreamName>(`${cell}.table`),
  /** Views of one hall. */
  toHallStream: (cell: string, hall: HallId): StreamName => toId<StreamName>(`${cell}.hall.${hall}`),
  /** Claims of idempotency keys of a cell. */
  toClaimStream: (cell: string): StreamName => toId<StreamName>(`${cell}.claims`),
} as const;
