import type { RecordWriter } from '../store/RecordWriter';
import type { JobWriting } from './JobWriting';
import { LeaderWriter } from './LeaderWriter';

type WriterInput = ConstructorParameters<typeof LeaderWriter>[0];

/** Creates the writer of a box's jobs, by who appends them. */
export const jobWritings: Readonly<Record<JobWriting, (input: WriterInput) => RecordWriter>> = {
  own: ({ own }) => own,
  leader: (input) => new LeaderWriter(input),
};
