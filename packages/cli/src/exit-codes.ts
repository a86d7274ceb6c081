/** The exit codes of the command-line tool. */

/** What each exit code means. */
export const exitCodes = {
	/** The command did what was asked. */
	done: 0,
	/** The instance could not be reached or failed. */
	failed: 1,
	/** The arguments or the file are invalid; nothing was changed. */
	invalid: 2,
	/** Another operator's change came first; nothing was changed. */
	conflict: 3,
	/** The file differs from the catalogue in force. */
	differs: 4,
	/** The change was accepted, but not every instance had it in force in time. */
	spreading: 5,
	/** The stop would take too much away; nothing was changed. */
	refused: 6,
	/** The stop is in force and still drains. */
	pending: 7,
	/** The stop was over before it was cancelled: its instances have ended. */
	tooLate: 8,
} as const;

/** An exit code. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
