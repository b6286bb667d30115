import type { RecordWriter } from '../store/RecordWriter';
import type { JobWriting } from './JobWriting';
import { ForwardingWriter } from './ForwardingWriter';

type WriterInput = ConstructorParameters<typeof ForwardingWriter>[0];

/** Creates the writer of job records for each policy. */
export const jobWritings: Readonly<Record<JobWriting, (input: WriterInput) => RecordWriter>> = {
  own: ({ own }) => own,
  leader: (input) => new ForwardingWriter(input),
};
