/** Options that several commands share. */
export const sharedOptions = {
  settings: { type: 'string', help: 'settings file, JSON with comments (required)' },
  box: { type: 'string', help: 'entry box; overrides the one in the settings' },
  json: { type: 'boolean', help: 'print JSON' },
} as const;
