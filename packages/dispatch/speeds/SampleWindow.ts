import { measureSpread } from '../../common/measureSpread';
import { readQuantile } from '../../common/readQuantile';
import { toSorted } from '../../common/toSorted';

/** So many of the newest values count, so that what they tell may change. */
const MAX_VALUES = 96;

/** The newest values of one quantity, and their quantiles. */
export class SampleWindow {
  private readonly values: number[] = [];
  /** Where the next value goes once the window is full. */
  private oldest = 0;
  /** Kept until the next value comes in, since quantiles are read more often than values come. */
  private sorted: readonly number[] | undefined;

  recordValue(value: number): void {
    this.sorted = undefined;
    if (this.values.length < MAX_VALUES) {
      this.values.push(value);
      return;
    }
    this.values[this.oldest] = value;
    this.oldest = (this.oldest + 1) % MAX_VALUES;
  }

  readCount(): number {
    return this.values.length;
  }

  /** The value that a share of the values, 0 to 1, do not exceed; 0 for an empty window. */
  readQuantile(share: number): number {
    return readQuantile(this.readSorted(), share) ?? 0;
  }

  /** How far the values are spread, as a standard deviation; 0 for an empty window. */
  readSpread(): number {
    return measureSpread(this.readSorted());
  }

  private readSorted(): readonly number[] {
    this.sorted ??= toSorted(this.values);
    return this.sorted;
  }
}
