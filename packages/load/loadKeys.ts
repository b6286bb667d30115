/** Names under which leaders write their load to the log. */
export const loadKeys = {
  /** Key of the newest digest in the topic of states. */
  digestKey: 'load',
} as const;
