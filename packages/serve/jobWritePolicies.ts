import type { RecordWriter } from '../store/RecordWriter';
import type { JobWritePolicyName } from './JobWritePolicyName';
import { ForwardingWriter } from './ForwardingWriter';

type WriterInput = ConstructorParameters<typeof ForwardingWriter>[0];

/** Creates the writer of job records for each policy. */
export const jobWritePolicies: Readonly<Record<JobWritePolicyName, (input: WriterInput) => RecordWriter>> = {
  own: ({ directWriter }) => directWriter,
  leader: (input) => new ForwardingWriter(input),
};
