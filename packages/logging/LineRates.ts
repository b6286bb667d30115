const SLOT_MS = 1000;
/** Slots that count beside the running one: the share rises only after so many calm ones. */
const SLOTS = 4;

interface Slot {
  readonly number: number;
  storyLines: number;
  otherLines: number;
}

/** How many lines came in the last seconds, written or not. */
export class LineRates {
  /** Newest last. */
  private slots: Slot[] = [];

  recordLine(isStory: boolean, now: number): void {
    const slot = this.readSlot(now);
    if (isStory) {
      slot.storyLines += 1;
    } else {
      slot.otherLines += 1;
    }
  }

  /** Lines of jobs a second, in the fullest of these seconds. */
  readStoryRate(): number {
    return Math.max(0, ...this.slots.map(({ storyLines }) => storyLines));
  }

  /** All other lines a second, in the mean of these seconds: the burst that the log may hold takes their peaks. */
  readOtherRate(): number {
    const sum = this.slots.reduce((total, { otherLines }) => total + otherLines, 0);
    return sum / Math.max(1, this.slots.length);
  }

  private readSlot(now: number): Slot {
    const number = Math.floor(now / SLOT_MS);
    const newest = this.slots[this.slots.length - 1];
    if (newest !== undefined && newest.number >= number) {
      return newest;
    }
    const slot = { number, storyLines: 0, otherLines: 0 };
    this.slots = [...this.slots.filter((one) => one.number >= number - SLOTS), slot];
    return slot;
  }
}
