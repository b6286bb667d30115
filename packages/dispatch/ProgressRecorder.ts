import type { Logger } from '../common/Logger';
import type { JobDefinition } from '../jobs/JobDefinition';
import type { JobId } from '../jobs/JobId';
import { jobKeys } from '../jobs/jobKeys';
import type { JobProgress } from '../jobs/JobProgress';
import type { JobState } from '../jobs/JobState';
import { progressTexts } from '../jobs/progressTexts';
import type { ExclusiveWriter } from '../store/ExclusiveWriter';

interface ProgressRecorderOptions {
  /** Writer of the progress topic. */
  readonly writer: ExclusiveWriter;
  readonly logger: Logger;
  /** Queues a write of a job's state, once progress that shows it is durable. */
  readonly queueJobState: (id: JobId, state: JobState) => void;
}

/** State that the newest formatted record of a job's progress shows; undefined while none has been formatted. */
interface FormattedState {
  state?: JobState;
}

/** Size of a job's progress above which it is recorded in parts. Half of the largest record of the log. */
const MAX_WHOLE_PROGRESS_BYTES = 131_072;

/**
 * Records the progress of jobs: in one record, or, when that would be too long, in parts, of which only those are written that have changed. The whole
 * record is replaced once all parts are durable, so that a leader that stops in between leaves progress that can be read.
 */
export class ProgressRecorder {
  /** Jobs whose progress this leader has begun to divide into parts. */
  private readonly dividedJobs = new Set<JobId>();

  constructor(private readonly options: ProgressRecorderOptions) {}

  /** Queues a write of a job's progress as it is when the append is sent; once durable, queues its state and calls `handleWritten`. */
  queueJobProgress(definition: JobDefinition, progress: JobProgress, handleWritten?: () => void): void {
    const { writer, queueJobState } = this.options;
    const formatted: FormattedState = {};
    if (progress.getParts().getForm() === 'whole') {
      this.queueWholeProgress(definition, progress, formatted);
    } else {
      this.queueChangedParts(definition, progress, formatted);
    }
    writer.queueBarrier(() => {
      // Changes of one job that go into one append are formatted only once, by the last of these functions.
      if (formatted.state !== undefined) {
        queueJobState(definition.id, formatted.state);
      }
      handleWritten?.();
    });
  }

  /** Queues a write of the whole progress, unless it is found too long when it is formatted. `formatted` gets the state that it shows. */
  private queueWholeProgress(
    definition: JobDefinition,
    progress: JobProgress,
    formatted: FormattedState,
  ): void {
    this.options.writer.queueWrite(jobKeys.toProgressKey(definition.id), () => {
      if (progress.getParts().getForm() === 'whole') {
        formatted.state = progress.getState();
        const text = progressTexts.formatWhole(definition, progress);
        if (Buffer.byteLength(text) <= MAX_WHOLE_PROGRESS_BYTES) {
          return text;
        }
      }
      this.queueChangedParts(definition, progress, formatted);
      return undefined;
    });
  }

  /** Queues writes of the parts that have changed, or of the end of the job. Divides the progress first if it is not yet divided. */
  private queueChangedParts(
    definition: JobDefinition,
    progress: JobProgress,
    formatted: FormattedState,
  ): void {
    const { id } = definition;
    if (progress.isEnded()) {
      this.queueEndOfParts(definition, progress, formatted);
      return;
    }
    const isDividing = this.startDivision(definition, progress);
    for (const part of progress.getParts().takeChangedParts()) {
      this.options.writer.queueWrite(jobKeys.toProgressPartKey(id, part), () => {
        formatted.state = progress.getState();
        return progressTexts.formatPart(progress, part);
      });
    }
    if (isDividing) {
      this.options.writer.queueBarrier(() => this.recordDivision(definition, progress));
    }
  }

  /**
   * Marks all parts with tasks that have had a run as changed. Returns false, without a change, if this leader has begun that already, or an earlier one has
   * completed it.
   */
  private startDivision({ id }: JobDefinition, progress: JobProgress): boolean {
    const parts = progress.getParts();
    if (parts.getForm() === 'parts' || this.dividedJobs.has(id)) {
      return false;
    }
    this.dividedJobs.add(id);
    parts.setForm('dividing');
    const numbering = progress.getNumbering();
    for (let part = 0; part < numbering.countParts(); part += 1) {
      if (numbering.listAddresses(part).some((address) => (progress.getTask(address)?.runNumber ?? 0) > 0)) {
        parts.addChangedPart(part);
      }
    }
    const partCount = numbering.countParts();
    this.options.logger.info('Progress of a job is recorded in parts.', { job: id, parts: partCount });
    return true;
  }

  /** Replaces the whole record, once all parts are durable. */
  private recordDivision({ id }: JobDefinition, progress: JobProgress): void {
    progress.getParts().setForm('parts');
    this.options.writer.queueWrite(jobKeys.toProgressKey(id), () =>
      progress.isEnded() ? progressTexts.formatEnd(progress) : progressTexts.formatDivided(),
    );
  }

  /** Queues a write of the end of a job whose progress is recorded in parts and, once that is durable, deletes the parts. */
  private queueEndOfParts({ id }: JobDefinition, progress: JobProgress, formatted: FormattedState): void {
    this.options.writer.queueWrite(jobKeys.toProgressKey(id), () => {
      formatted.state = progress.getState();
      return progressTexts.formatEnd(progress);
    });
    this.options.writer.queueBarrier(() => {
      for (const part of progress.getParts().takeWrittenParts()) {
        this.options.writer.queueWrite(jobKeys.toProgressPartKey(id, part), () => '');
      }
      this.dividedJobs.delete(id);
    });
  }
}
