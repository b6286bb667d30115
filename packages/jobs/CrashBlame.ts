/**
 * How sure it is that a task ended the endpoint it ran on.
 * - `sole`: its run was the only one there that had just begun.
 * - `shared`: it was one of several that may have.
 * - `inherited`: an earlier leader had placed its run, and nobody knows how long it had worked.
 * - `present`: its run had worked for a while.
 * - `unproved`: the endpoint fell silent with it and has not been heard since; it may be cut off and no more.
 */
export type CrashBlame = 'sole' | 'shared' | 'inherited' | 'present' | 'unproved';
