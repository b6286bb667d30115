/**
 * How likely it is that a task caused the crash of the endpoint it ran on.
 * - `sole`: its run was the only one there in startup.
 * - `shared`: its run was one of several in startup.
 * - `inherited`: its run was placed by an earlier leader, and it is unknown whether it was in startup.
 * - `present`: its run was past startup.
 * - `unproved`: the endpoint became unreachable and has not responded since; it may only be partitioned.
 */
export type CrashBlame = 'sole' | 'shared' | 'inherited' | 'present' | 'unproved';
