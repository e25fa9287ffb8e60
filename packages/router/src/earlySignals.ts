/**
 * Keeps a signal to read the settings again from ending a process that is still loading its modules; the settings are read
 * after them. Imported before all other modules.
 */
process.on('SIGHUP', () => undefined);
