import { computeSpread } from '../../common/computeSpread';
import { computeQuantile } from '../../common/computeQuantile';
import { findSortedIndex } from '../../common/findSortedIndex';

/** Maximum number of values in a window; the next value replaces the oldest. */
const MAX_WINDOW_VALUES = 96;

/** The latest values of a quantity, and their quantiles. */
export class SampleWindow {
  private readonly values: number[] = [];
  /** Index of the oldest value, which the next one replaces once the window is full. */
  private nextIndex = 0;
  /** The values in ascending order. */
  private readonly sorted: number[] = [];

  /** Adds a value, in place of the oldest one if the window is full. */
  addValue(value: number): void {
    if (this.values.length < MAX_WINDOW_VALUES) {
      this.values.push(value);
    } else {
      this.sorted.splice(findSortedIndex(this.sorted, this.values[this.nextIndex]!), 1);
      this.values[this.nextIndex] = value;
      this.nextIndex = (this.nextIndex + 1) % MAX_WINDOW_VALUES;
    }
    this.sorted.splice(findSortedIndex(this.sorted, value), 0, value);
  }

  countValues(): number {
    return this.values.length;
  }

  /** Returns the quantile for a share, 0 to 1; 0 for an empty window. */
  computeQuantile(share: number): number {
    return computeQuantile(this.sorted, share) ?? 0;
  }

  /** Returns an estimate of the values' standard deviation that is robust against outliers; 0 for an empty window. */
  computeSpread(): number {
    return computeSpread(this.sorted);
  }
}
