/*
 * Copyright 2026 The lupinpaddle authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.lupinpaddle.core.run;

/** Why a task whose turn has come has no confirmed run. */
public enum WaitReason {
    /** Its worker does not answer, and may be running it. */
    WORKER_MAY_RUN_IT,
    /** Its worker is lost, but the next incarnation may have executed a start of its run, or may still do so. */
    RUN_IN_DOUBT,
    /** An earlier owner has placed it, and its worker has not reported on it yet. */
    NOT_REPORTED_YET,
    /** Its start has been sent and is not confirmed. */
    START_UNANSWERED,
    /** Its last run is being stopped, which is not confirmed. */
    STOP_UNCONFIRMED,
    /** Its placement is not durable. */
    RECORD_UNSAVED,
    /** Workers have crashed under it, and its worker must respond before the start. */
    PROBE_UNANSWERED,
    /** It has crashed workers, and it is not settled whether it is given up. */
    CRASH_VERDICT,
    /** It has failed, and its next start is delayed. */
    FAILURE_BACKOFF,
    /** The list of workers is not current. */
    WORKER_LIST_STALE,
    /** The view of the cordoned halls is not current. */
    CORDONS_STALE,
    /** Its worker, or each worker with room, is in a cordoned hall. */
    HALL_CORDONED,
    /** Its job waits until another one with the same id is over. */
    ID_HELD_BY_OTHER_JOB,
    /** Another member of its gang may not be placed now. */
    GANG_INCOMPLETE,
    /** No worker may be given new tasks. */
    NO_USABLE_WORKER,
    /** No usable worker has its label and may run one more task of its step. */
    NO_SUITABLE_WORKER,
    /** The workers with room exclude other tasks while a suspect proves itself, or are on probation. */
    WORKERS_RESERVED,
    /** Only workers that it avoids have room, or none has proven itself for its last attempt. */
    AVOIDED_WORKERS,
    /** Only workers whose other tasks it must not share a worker with have room. */
    SUSPECTS_APART,
    /** The rate limit of starts on cold workers permits none. */
    COLD_STARTS,
    /** No usable worker has room for it. */
    NO_ROOM,
    /** Its workspace has too little quota left. */
    QUOTA,
    /** The advice service has permitted it on no worker with room. */
    ADVICE,
    /** Nothing keeps it from being placed; if this lasts, placement passes it by. */
    NONE
}
