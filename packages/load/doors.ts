import type { Door } from './Door';

interface DoorRules {
  /** Leaders tell all boxes of their load. */
  readonly isTold: boolean;
  readonly mayRefuse: boolean;
}

/** What each way of taking jobs in does. */
export const doors: Readonly<Record<Door, DoorRules>> = {
  open: { isTold: false, mayRefuse: false },
  watch: { isTold: true, mayRefuse: false },
  load: { isTold: true, mayRefuse: true },
};
