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
 * Where the job scheduler's records lie in the store. What the owner of a service must notice lies under one
 * prefix, so that one watch shows all of it; what it writes itself lies elsewhere.
 */
public final class SchedulerKeys {

    /** Prefix of the entries and of the owners, each under the lease of an entry. */
    public static final String MEMBERS = "lupinpaddle/member/";

    private static final String FLEET = "lupinpaddle/fleet/";
    private static final String ENTRIES = MEMBERS + "entry/";
    private static final String OWNERS = MEMBERS + "owner/";
    private static final String CAPACITIES = MEMBERS + "capacity/";
    private static final String INPUTS = "lupinpaddle/in/";
    private static final String PROGRESS = "lupinpaddle/progress/";
    private static final String REPORTS = FLEET + "report/";
    private static final String QUOTAS = "lupinpaddle/quota/";
    // Store keys are limited to 200 bytes; a longer workspace name is replaced by its digest.
    private static final int MAX_NAME_BYTES = 120;
    private static final String JOB = "job/";
    private static final String CANCEL = "cancel/";
    private static final String EVACUATIONS = FLEET + "evacuate/";
    private static final String UPKEEP = FLEET + "upkeep/";
    private static final String RECENT_ORDERS = FLEET + "recent-orders";

    // Any writer of the store can make up a key: what is no such name is passed over.
    private static final Pattern WAVE_NUMBER = Pattern.compile("[0-9]{1,18}");
    private static final Pattern SERVICE_AND_WORKER = Pattern.compile("(?s).+/[^/]+");

    private SchedulerKeys() {}

    /** Returns the key of an entry's registration. */
    public static String entry(String name) {
        return ENTRIES + name;
    }

    /** Returns the name of the entry whose registration this is, or nothing. */
    public static Optional<String> entryOf(String key) {
        return withoutPrefix(ENTRIES, key);
    }

    /** Returns the key under which an entry tells how much it can do. */
    public static String capacity(String name) {
        return CAPACITIES + name;
    }

    /** Returns the name of the entry whose capacity this is, or nothing. */
    public static Optional<String> capacityOf(String key) {
        return withoutPrefix(CAPACITIES, key);
    }

    /** Returns the key that the owner of a duty holds under its lease. */
    public static String owner(String duty) {
        return OWNERS + duty;
    }

    /** Returns the duty whose owner's key this is, or nothing. */
    public static Optional<String> dutyOf(String key) {
        return withoutPrefix(OWNERS, key);
    }

    /** Returns the prefix of all that the owner of a service must notice. */
    public static String inputs(String service) {
        return INPUTS + service + "/";
    }

    /** Returns the prefix of what callers have handed in, of all services. */
    public static String allInputs() {
        return INPUTS;
    }

    /** Returns the prefix of the progress of all services' jobs. */
    public static String allProgress() {
        return PROGRESS;
    }

    /** Returns the service under whose inputs a key lies; empty when it lies under none's. */
    public static String serviceOfInput(String key) {
        return withoutPrefix(INPUTS, key)
                .map(k -> k.substring(0, Math.max(0, k.indexOf('/'))))
                .orElse("");
    }

    /** Returns the key of a job's record, which changes once: to {@link JobSpec#FINISHED_MARKER}. */
    public static String job(String service, JobKey job) {
        return inputs(service) + JOB + job;
    }

    /** Returns the job whose record lies under the key, or nothing. */
    public static Optional<JobKey> jobOf(String service, String key) {
        return withoutPrefix(inputs(service) + JOB, key).map(SchedulerKeys::jobKey);
    }

    /** Returns the key that says that a caller has cancelled a job. */
    public static String cancel(String service, JobKey job) {
        return inputs(service) + CANCEL + job;
    }

    /** Returns the job that the key says is cancelled, or nothing. */
    public static Optional<JobKey> cancelledJobOf(String service, String key) {
        return withoutPrefix(inputs(service) + CANCEL, key).map(SchedulerKeys::jobKey);
    }

    /** Returns the prefix of all that the owner of the fleet must notice. */
    public static String fleet() {
        return FLEET;
    }

    /** Returns whether the key asks for a worker to be emptied. */
    public static boolean isEvacuation(String key) {
        return withoutPrefix(EVACUATIONS, key)
                .filter(k -> SERVICE_AND_WORKER.matcher(k).matches())
                .isPresent();
    }

    /** Returns the service of whose worker the key asks that it be emptied. */
    public static String evacuatedService(String key) {
        return key.substring(EVACUATIONS.length(), key.lastIndexOf('/'));
    }

    /** Returns the worker that the key asks to be emptied. */
    public static String evacuatedWorker(String key) {
        return key.substring(key.lastIndexOf('/') + 1);
    }

    /** Returns the prefix of what asks for workers of a service to be emptied. */
    public static String evacuations(String service) {
        return EVACUATIONS + service + "/";
    }

    /** Returns the key that asks for a worker to be emptied. */
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

    /** Returns the key of the report of a service's owner. */
    public static String report(String service) {
        return REPORTS + service;
    }

    /** Returns the service whose report lies under the key, or nothing. */
    public static Optional<String> reportOf(String key) {
        return withoutPrefix(REPORTS, key);
    }

    /** Returns the key of how far a wave of upkeep is. */
    public static String upkeep(long wave) {
        return UPKEEP + wave;
    }

    /** Returns the wave whose record lies under the key, or nothing. */
    public static Optional<Long> upkeepOf(String key) {
        return withoutPrefix(UPKEEP, key).filter(k -> WAVE_NUMBER.matcher(k).matches()).map(Long::valueOf);
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

    /** Returns the key of which instances were ordered lately. */
    public static String recentOrders() {
        return RECENT_ORDERS;
    }

    /** Returns the job whose progress lies under the key. */
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
