/* LD_PRELOAD library for the programs under soak. Adds the offset in
 * milliseconds that SHIFTED_CLOCK_FILE holds to the wall clock; rewriting the
 * file steps the clock of a running program. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <fcntl.h>
#include <stdlib.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

static long OffsetMilliseconds(void) {
  static int file = -2;
  char text[32] = {0};
  if (file == -2) {
    const char* path = getenv("SHIFTED_CLOCK_FILE");
    file = path == NULL ? -1 : open(path, O_RDONLY | O_CLOEXEC);
  }
  if (file < 0 || pread(file, text, sizeof text - 1, 0) <= 0) return 0;
  return strtol(text, NULL, 10);
}

int clock_gettime(clockid_t clock, struct timespec* result) {
  static int (*original)(clockid_t, struct timespec*) = NULL;
  if (original == NULL) {
    original =
        (int (*)(clockid_t, struct timespec*))dlsym(RTLD_NEXT, "clock_gettime");
  }
  const int status = original(clock, result);
  if (status != 0 || clock != CLOCK_REALTIME) return status;
  const long offset = OffsetMilliseconds();
  result->tv_sec += offset / 1000;
  result->tv_nsec += offset % 1000 * 1000000;
  if (result->tv_nsec >= 1000000000) {
    result->tv_nsec -= 1000000000;
    ++result->tv_sec;
  } else if (result->tv_nsec < 0) {
    result->tv_nsec += 1000000000;
    --result->tv_sec;
  }
  return 0;
}

int gettimeofday(struct timeval* restrict result, void* restrict zone) {
  (void)zone;
  struct timespec now;
  if (clock_gettime(CLOCK_REALTIME, &now) != 0) return -1;
  result->tv_sec = now.tv_sec;
  result->tv_usec = now.tv_nsec / 1000;
  return 0;
}
