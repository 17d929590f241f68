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
package org.lupinpaddle.core.job;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Pattern;
import org.lupinpaddle.core.workspace.KeyDigest;

/**
 * The store keys of the job scheduler's records. All inputs of a service's owner have one prefix, so that a single
 * watch covers them; the records that the owner itself writes are stored under other prefixes.
 */
public final class SchedulerKeys {

    /** The prefix of the registrations of entries and owners, each bound to the lease of an entry. */
    public static final String MEMBERS = "lupinpaddle/member/";

    private static final String FLEET = "lupinpaddle/fleet/";
    private static final String ENTRIES = MEMBERS + "entry/";
    private static final String OWNERS = MEMBERS + "owner/";
    private static final String CAPACITIES = MEMBERS + "capacity/";
    private static final String JOB_BYTES = MEMBERS + "job-bytes/";
    private static final String INPUTS = "lupinpaddle/in/";
    private static final String PROGRESS = "lupinpaddle/progress/";
    private static final String LOCATIONS = "lupinpaddle/location/";
    private static final String CALLER_IDS = "lupinpaddle/caller-id/";
    private static final String REPORTS = FLEET + "report/";
    private static final String QUOTAS = "lupinpaddle/quota/";
    // Store keys are limited to 200 bytes; a longer workspace name is replaced by its digest.
    private static final int MAX_NAME_BYTES = 120;
    private static final String JOB = "job/";
    private static final String CANCEL = "cancel/";
    private static final String EVACUATIONS = FLEET + "evacuate/";
    private static final String UPKEEP = FLEET + "upkeep/";
    private static final String RECENT_ORDERS = FLEET + "recent-orders";

    // Other writers of the store may create arbitrary keys, so keys that do not match are ignored.
    private static final Pattern WAVE_NUMBER = Pattern.compile("[0-9]{1,18}");
    private static final Pattern SERVICE_AND_WORKER = Pattern.compile("(?s).+/[^/]+");

    private SchedulerKeys() {}

    /** Returns the key of an entry's registration. */
    public static String entry(String name) {
        return ENTRIES + name;
    }

    /** Returns the name of the entry that is registered under the key; empty for other keys. */
    public static Optional<String> entryOf(String key) {
        return withoutPrefix(ENTRIES, key);
    }

    /** Returns the key under which an entry reports its capacity. */
    public static String capacity(String name) {
        return CAPACITIES + name;
    }

    /** Returns the name of the entry whose capacity is stored under the key; empty for other keys. */
    public static Optional<String> capacityOf(String key) {
        return withoutPrefix(CAPACITIES, key);
    }

    /** Returns the key under which an entry publishes the estimated size of the jobs that it holds. */
    public static String jobBytes(String name) {
        return JOB_BYTES + name;
    }

    /** Returns the name of the entry whose size of jobs is stored under the key; empty for other keys. */
    public static Optional<String> jobBytesOf(String key) {
        return withoutPrefix(JOB_BYTES, key);
    }

    /** Returns the prefix of the keys that owners of duties hold. */
    public static String owners() {
        return OWNERS;
    }

    /** Returns the key that the owner of a duty holds, bound to its lease. */
    public static String owner(String duty) {
        return OWNERS + duty;
    }

    /** Returns the duty whose owner holds the key; empty for other keys. */
    public static Optional<String> dutyOf(String key) {
        return withoutPrefix(OWNERS, key);
    }

    /** Returns the prefix of all inputs of a service's owner. */
    public static String inputs(String service) {
        return INPUTS + service + "/";
    }

    /** Returns the prefix of the inputs of all services. */
    public static String allInputs() {
        return INPUTS;
    }

    /** Returns the prefix of the progress of all services' jobs. */
    public static String allProgress() {
        return PROGRESS;
    }

    /** Returns the service whose inputs contain the key; an empty string for other keys. */
    public static String serviceOfInput(String key) {
        return withoutPrefix(INPUTS, key)
                .map(k -> k.substring(0, Math.max(0, k.indexOf('/'))))
                .orElse("");
    }

    /** Returns the key of a job's record, which changes only once: to {@link JobSpec#FINISHED_MARKER}. */
    public static String job(String service, JobKey job) {
        return inputs(service) + JOB + job;
    }

    /** Returns the job whose record is stored under the key; empty for other keys. */
    public static Optional<JobKey> jobOf(String service, String key) {
        return withoutPrefix(inputs(service) + JOB, key).map(SchedulerKeys::jobKey);
    }

    /** Returns the prefix of the locations of all jobs. */
    public static String locations() {
        return LOCATIONS;
    }

    /**
     * Returns the key of a job's location: the name of the service that the job belongs to, as plain text. It is written
     * and removed together with the job's record.
     */
    public static String location(JobKey job) {
        return LOCATIONS + job;
    }

    /**
     * Returns the key that reserves a caller id within a service, because workers name tasks by the id without the queue. It
     * holds the name of the queue, and is written and removed together with the job's record.
     */
    public static String callerId(String service, String id) {
        return CALLER_IDS + service + "/" + id;
    }

    /** Returns the key that marks a job as cancelled by its caller. */
    public static String cancel(String service, JobKey job) {
        return inputs(service) + CANCEL + job;
    }

    /** Returns the job that the key marks as cancelled; empty for other keys. */
    public static Optional<JobKey> cancelledJobOf(String service, String key) {
        return withoutPrefix(inputs(service) + CANCEL, key).map(SchedulerKeys::jobKey);
    }

    /** Returns the prefix of all inputs of the fleet's owner. */
    public static String fleet() {
        return FLEET;
    }

    /** Returns whether the key requests the evacuation of a worker. */
    public static boolean isEvacuation(String key) {
        return withoutPrefix(EVACUATIONS, key)
                .filter(k -> SERVICE_AND_WORKER.matcher(k).matches())
                .isPresent();
    }

    /** Returns the service of the worker whose evacuation the key requests. */
    public static String evacuatedService(String key) {
        return key.substring(EVACUATIONS.length(), key.lastIndexOf('/'));
    }

    /** Returns the worker whose evacuation the key requests. */
    public static String evacuatedWorker(String key) {
        return key.substring(key.lastIndexOf('/') + 1);
    }

    /** Returns the prefix of the evacuation requests for workers of a service. */
    public static String evacuations(String service) {
        return EVACUATIONS + service + "/";
    }

    /** Returns the key of the evacuation request for a worker. */
    public static String evacuation(String service, String worker) {
        return evacuations(service) + worker;
    }

    /** Returns the prefix of the progress of a service's jobs. */
    public static String progress(String service) {
        return PROGRESS + service + "/";
    }

    /** Returns the key of a job's progress. */
    public static String progress(String service, JobKey job) {
        return progress(service) + job;
    }

    /** Returns the prefix of the reports of all services' owners. */
    public static String reports() {
        return REPORTS;
    }

    /** Returns the key of the report of a service's owner. */
    public static String report(String service) {
        return REPORTS + service;
    }

    /** Returns the service whose report is stored under the key; empty for other keys. */
    public static Optional<String> reportOf(String key) {
        return withoutPrefix(REPORTS, key);
    }

    /** Returns the key of the progress of a maintenance wave. */
    public static String upkeep(long wave) {
        return UPKEEP + wave;
    }

    /** Returns the maintenance wave whose progress is stored under the key; empty for other keys. */
    public static Optional<Long> upkeepOf(String key) {
        return withoutPrefix(UPKEEP, key)
                .filter(k -> WAVE_NUMBER.matcher(k).matches())
                .map(Long::valueOf);
    }

    /** Returns the prefix of all quota allocations. */
    public static String quotas() {
        return QUOTAS;
    }

    /** Returns the key of the quota allocation of a workspace. */
    public static String quota(String workspace) {
        boolean isLong = workspace.getBytes(StandardCharsets.UTF_8).length > MAX_NAME_BYTES;
        return QUOTAS + (isLong ? KeyDigest.of(workspace).toHex() : workspace);
    }

    /** Returns the key of the recent operations on instances. */
    public static String recentOrders() {
        return RECENT_ORDERS;
    }

    /** Returns the job whose progress is stored under the key; empty for other keys. */
    public static Optional<JobKey> progressOf(String service, String key) {
        return withoutPrefix(progress(service), key).map(SchedulerKeys::jobKey);
    }

    private static JobKey jobKey(String text) {
        int slash = text.lastIndexOf('/');
        return new JobKey(text.substring(0, Math.max(0, slash)), text.substring(slash + 1));
    }

    private static Optional<String> withoutPrefix(String prefix, String key) {
        return key.startsWith(prefix) ? Optional.of(key.substring(prefix.length())) : Optional.empty();
    }
}
