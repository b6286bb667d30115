/**
 * How likely it is that a task caused the crash of the endpoint it ran on.
 * - `sole`: the task's run was the only one on the endpoint in startup.
 * - `shared`: the task's run was one of several on the endpoint in startup.
 * - `inherited`: the task's run was placed by an earlier leader, and it is unknown whether the run was in startup.
 * - `present`: the task's run was on the endpoint, but other runs or an outage are taken for the cause.
 * - `unproved`: the endpoint became unreachable and has not responded since: it may have crashed, or only be partitioned.
 */
export type CrashBlame = 'sole' | 'shared' | 'inherited' | 'present' | 'unproved';
