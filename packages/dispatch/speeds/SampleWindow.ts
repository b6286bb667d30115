import { computeSpread } from '../../common/computeSpread';
import { computeQuantile } from '../../common/computeQuantile';
import { sortAscending } from '../../common/sortAscending';

/** Maximum number of values in a window; the next value replaces the oldest. */
const MAX_WINDOW_VALUES = 96;

/** The latest values of a quantity, and their quantiles. */
export class SampleWindow {
  private readonly values: number[] = [];
  /** Index of the oldest value, which the next one replaces once the window is full. */
  private nextIndex = 0;
  /** The sorted values, cached until the next one is added. */
  private sorted: readonly number[] | undefined;

  /** Adds a value, in place of the oldest one if the window is full. */
  addValue(value: number): void {
    this.sorted = undefined;
    if (this.values.length < MAX_WINDOW_VALUES) {
      this.values.push(value);
      return;
    }
    this.values[this.nextIndex] = value;
    this.nextIndex = (this.nextIndex + 1) % MAX_WINDOW_VALUES;
  }

  countValues(): number {
    return this.values.length;
  }

  /** Returns the quantile for a share, 0 to 1; 0 for an empty window. */
  computeQuantile(share: number): number {
    return computeQuantile(this.getSorted(), share) ?? 0;
  }

  /** Returns an estimate of the values' standard deviation that is robust against outliers; 0 for an empty window. */
  computeSpread(): number {
    return computeSpread(this.getSorted());
  }

  private getSorted(): readonly number[] {
    this.sorted ??= sortAscending(this.values);
    return this.sorted;
  }
}
