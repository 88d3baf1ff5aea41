/** A link with more queued bytes than this is treated as broken. */
const maxQueuedBytes = 64 * 1024 * 1024;

/** Queue of the frames to send over a link. Frames added in one turn of the event loop are sent as one batch. @internal */
export class FrameOutbox {
	#queuedFrames: Uint8Array[] = [];
	#queuedBytes = 0;
	#isClosed = false;
	#wakeReader: (() => void) | undefined;

	/** Adds a frame. Returns false when the queue exceeds its limit because the link sends too slowly. */
	addFrame(frame: Uint8Array): boolean {
		this.#queuedFrames.push(frame);
		this.#queuedBytes += frame.length;
		if (this.#wakeReader !== undefined) {
			setImmediate(this.#wakeReader);
			this.#wakeReader = undefined;
		}

		return this.#queuedBytes <= maxQueuedBytes;
	}

	/** Ends the batches once the frames already queued have been read. */
	close(): void {
		this.#isClosed = true;
		this.#wakeReader?.();
		this.#wakeReader = undefined;
	}

	/** Yields the queued frames as batches until the outbox is closed and empty. */
	async * readBatches(): AsyncGenerator<Uint8Array[]> {
		while (!this.#isClosed || this.#queuedFrames.length > 0) {
			if (this.#queuedFrames.length === 0) {
				// eslint-disable-next-line no-await-in-loop
				await new Promise<void>(resolve => {
					this.#wakeReader = resolve;
				});
				continue;
			}

			const batch = this.#queuedFrames;
			this.#queuedFrames = [];
			this.#queuedBytes = 0;
			yield batch;
		}
	}
}
