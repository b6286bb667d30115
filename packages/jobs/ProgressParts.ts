import type { TaskAddress } from './TaskAddress';
import type { TaskNumbering } from './TaskNumbering';

/**
 * How the progress of a job is recorded.
 * - `whole`: in one record.
 * - `dividing`: parts are written, and the whole record still holds the tasks of those that are not.
 * - `parts`: in a record for each part with tasks that have had a run; the whole record says so.
 */
type RecordForm = 'whole' | 'dividing' | 'parts';

/** Which parts of a job's progress have changed since they were last taken to be written. A job that fits into one record is not divided. */
export class ProgressParts {
  private form: RecordForm = 'whole';
  /** Changed parts, in order; kept only from the division on. */
  private changedParts = new Set<number>();
  /** Parts that have a record. */
  private readonly writtenParts = new Set<number>();

  constructor(private readonly numbering: TaskNumbering) {}

  getForm(): RecordForm {
    return this.form;
  }

  setForm(form: RecordForm): void {
    this.form = form;
  }

  recordChange(address: TaskAddress): void {
    if (this.form !== 'whole') {
      this.changedParts.add(this.numbering.getPart(address));
    }
  }

  /** Adds a part to the changed ones. */
  addChangedPart(part: number): void {
    this.changedParts.add(part);
  }

  /** Returns the changed parts and clears them. They count as written. */
  takeChangedParts(): readonly number[] {
    const parts = [...this.changedParts];
    this.changedParts = new Set();
    parts.forEach((part) => this.writtenParts.add(part));
    return parts;
  }

  /** Records that a part has a record. */
  recordWrittenPart(part: number): void {
    this.writtenParts.add(part);
  }

  /** Returns the parts that have a record and clears them, so that they are deleted once. */
  takeWrittenParts(): readonly number[] {
    const parts = [...this.writtenParts];
    this.writtenParts.clear();
    return parts;
  }
}
