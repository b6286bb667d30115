import type { JobDefinition } from './JobDefinition';
import type { TaskAddress } from './TaskAddress';

/** Number of tasks in one part of a job's progress. Their rows fit into one record of the log, with all that may be recorded of a task. */
const TASKS_PER_PART = 256;

/** Numbers the tasks of a job through all repetitions and steps, and divides them into parts. */
export class TaskNumbering {
  /** Number of the first task of each step in the first repetition. */
  private readonly stepOffsets: readonly number[];
  private readonly tasksPerRepetition: number;

  constructor(private readonly definition: JobDefinition) {
    let offset = 0;
    this.stepOffsets = definition.steps.map(({ count }) => {
      offset += count;
      return offset - count;
    });
    this.tasksPerRepetition = offset;
  }

  /** Returns the number of parts of the job. */
  countParts(): number {
    return Math.ceil((this.tasksPerRepetition * this.definition.times) / TASKS_PER_PART);
  }

  /** Returns the part that a task belongs to. */
  getPart({ repetition, step, index }: TaskAddress): number {
    const number = repetition * this.tasksPerRepetition + (this.stepOffsets[step] ?? 0) + index;
    return Math.floor(number / TASKS_PER_PART);
  }

  /** Returns the addresses of the tasks of a part. */
  listAddresses(part: number): readonly TaskAddress[] {
    const end = Math.min((part + 1) * TASKS_PER_PART, this.tasksPerRepetition * this.definition.times);
    const addresses: TaskAddress[] = [];
    for (let number = part * TASKS_PER_PART; number < end; number += 1) {
      addresses.push(this.toAddress(number));
    }
    return addresses;
  }

  private toAddress(number: number): TaskAddress {
    const repetition = Math.floor(number / this.tasksPerRepetition);
    const inRepetition = number % this.tasksPerRepetition;
    let step = this.stepOffsets.length - 1;
    while (step > 0 && (this.stepOffsets[step]! > inRepetition || this.definition.steps[step]!.count === 0)) {
      step -= 1;
    }
    return { repetition, step, index: inRepetition - this.stepOffsets[step]! };
  }
}
