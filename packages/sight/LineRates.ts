const SLOT_MS = 1000;
/** Slots that count beside the running one: the share rises only after so many calm ones. */
const SLOTS = 4;

interface Slot {
  readonly number: number;
  storyLines: number;
  otherLines: number;
}

/** How many lines came in the fullest of the last seconds, written or not. */
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

  /** Lines of jobs a second. */
  readStoryRate(): number {
    return Math.max(0, ...this.slots.map(({ storyLines }) => storyLines));
  }

  /** All other lines a second. */
  readOtherRate(): number {
    return Math.max(0, ...this.slots.map(({ otherLines }) => otherLines));
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
